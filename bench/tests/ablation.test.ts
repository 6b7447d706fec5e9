import { parse } from 'smol-toml';
import { decisionSwitchesSchema } from '../../src/decisions';
import { allSets, pickSets, settingsOf } from '../ablation/sets';
import { formatRows, rowsOf } from '../ablation/table';

describe('sets of switches', () => {
  it('are read back from the settings that they are written to', () => {
    for (const set of allSets()) {
      const written = parse(settingsOf(set))['decisions'] ?? {};
      expect(decisionSwitchesSchema.parse(written)).toEqual({
        ...decisionSwitchesSchema.parse({}),
        ...set.switches,
      });
    }
  });

  it('hold each mechanism by itself, the baselines and what is usual', () => {
    const names = allSets().map(({ name }) => name);
    expect(names[0]).toBe('usual');
    expect(names).toContain('without-zones');
    expect(names).toContain('round-robin');
    expect(new Set(names).size).toBe(names.length);
  });

  it('are picked by name, with a message that lists them where a name is wrong', () => {
    expect(pickSets(['round-robin']).map(({ name }) => name)).toEqual(['usual', 'round-robin']);
    expect(() => pickSets(['zone'])).toThrow(/no set is called zone; there are usual, without-/);
  });
});

describe('the table of an ablation', () => {
  const day = { day: 'd', failures: [] };
  const days = [
    { ...day, set: 'usual', seed: '1', worth: 0.9 },
    { ...day, set: 'usual', seed: '2', worth: 0.8 },
    { ...day, set: 'other', seed: '1', worth: 0.85 },
    { ...day, set: 'other', seed: '2', worth: 0.77, failures: ['BUDGET'] },
    { ...day, set: 'other', seed: '3', worth: undefined, failures: ['not played'] },
  ];

  it('compares seed by seed with what is usual', () => {
    const [, row] = rowsOf(days, 'usual');
    expect(row).toMatchObject({ set: 'other', seeds: 2, least: 0.77, most: 0.85 });
    expect(row?.difference).toBeCloseTo(-0.04);
    expect(row?.spread).toBeCloseTo(0.01414, 4);
  });

  it('names what failed', () => {
    expect(formatRows(rowsOf(days, 'usual'))).toContain('BUDGET, not played');
  });
});
