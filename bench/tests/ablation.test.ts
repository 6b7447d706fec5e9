import { parse } from 'smol-toml';
import { decisionSwitchesSchema } from '../../src/decisions';
import { allSets, selectSets, formatSettings } from '../ablation/sets';
import { formatRows, buildRows } from '../ablation/table';

describe('ablation switch sets', () => {
  it('parse back to the same switches from their settings lines', () => {
    for (const set of allSets()) {
      const written = parse(formatSettings(set))['decisions'] ?? {};
      expect(decisionSwitchesSchema.parse(written)).toEqual({
        ...decisionSwitchesSchema.parse({}),
        ...set.switches,
      });
    }
  });

  it('contain the defaults first, each mechanism disabled alone and baseline policies, once each', () => {
    const names = allSets().map(({ name }) => name);
    expect(names[0]).toBe('usual');
    expect(names).toContain('without-zones');
    expect(names).toContain('without-fair-shares');
    expect(names).toContain('round-robin');
    expect(new Set(names).size).toBe(names.length);
  });

  it('are selected by name after the default set, and an unknown name fails with the list of names', () => {
    expect(selectSets(['round-robin']).map(({ name }) => name)).toEqual(['usual', 'round-robin']);
    expect(() => selectSets(['zone'])).toThrow(
      /unknown switch set "zone"; expected one of: usual, without-/,
    );
  });
});

describe('ablation table', () => {
  const day = { day: 'd', failures: [] };
  const results = [
    { ...day, set: 'usual', seed: '1', worth: 0.9 },
    { ...day, set: 'usual', seed: '2', worth: 0.8 },
    { ...day, set: 'other', seed: '1', worth: 0.85 },
    { ...day, set: 'other', seed: '2', worth: 0.77, failures: ['BUDGET'] },
    { ...day, set: 'other', seed: '3', worth: undefined, failures: ['run failed'] },
  ];

  it('reports the mean and standard deviation of the paired differences to the default set', () => {
    const [, row] = buildRows(results, 'usual');
    expect(row).toMatchObject({ set: 'other', seeds: 2, minimum: 0.77, maximum: 0.85 });
    expect(row?.difference).toBeCloseTo(-0.04);
    expect(row?.standardDeviation).toBeCloseTo(0.01414, 4);
  });

  it('lists the failures of all runs of a row', () => {
    expect(formatRows(buildRows(results, 'usual'))).toContain('BUDGET, run failed');
  });
});
