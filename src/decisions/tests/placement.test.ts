import { SeededRandom } from '../../core';
import {
  DEFAULT_DECISION_SWITCHES,
  type DecisionSwitches,
  type PlacementCandidate,
  createPlacementPolicies,
  decisionSwitchesSchema,
  enginePriority,
} from '..';

const RANDOM = new SeededRandom(1);

function candidate(id: string, overrides: Partial<PlacementCandidate> = {}): PlacementCandidate {
  return {
    id,
    availabilityZone: 'a',
    slots: 6,
    load: 0,
    failureShare: 0,
    isPaused: false,
    cachedTokens: 0,
    hasIdleConnection: true,
    ...overrides,
  };
}

/** Places a turn with a prompt of 4,000 tokens, of which the target `last` caches 3,900. */
function placeTurn(
  candidates: readonly PlacementCandidate[],
  switches: Partial<DecisionSwitches> = {},
): string | undefined {
  const { engine } = createPlacementPolicies({ ...DEFAULT_DECISION_SWITCHES, ...switches });
  const prompt = { promptTokens: 4000, lastTarget: 'last', lastTargetCachedTokens: 3900 };
  const input = { availabilityZone: 'a', ...prompt, newConnectionMilliseconds: 0, candidates };
  return engine.place(input, RANDOM)?.candidate.id;
}

describe('placement switches', () => {
  const last = candidate('last', { load: 5 });
  const idle = candidate('idle');

  it('are all enabled by default and reject unknown keys', () => {
    expect(
      Object.values(DEFAULT_DECISION_SWITCHES).every(
        (value) => value === true || value === 'soonest',
      ),
    ).toBe(true);
    expect(decisionSwitchesSchema.safeParse({ zone: false }).success).toBe(false);
  });

  it('last-target: prefers the engine of the previous turn', () => {
    expect(placeTurn([last, idle])).toBe('last');
    expect(placeTurn([last, idle], { 'last-target': false })).toBe('idle');
  });

  it('held-parts: prefers an engine that caches a part of the prompt', () => {
    const caching = candidate('caching', { cachedTokens: 2500, load: 5 });
    expect(placeTurn([caching, idle])).toBe('caching');
    expect(placeTurn([caching, idle], { 'held-parts': false })).toBe('idle');
  });

  it('zones: prefers an engine in the same availability zone', () => {
    const remote = candidate('remote', { availabilityZone: 'b' });
    const local = candidate('local', { load: 1 });
    expect(placeTurn([remote, local])).toBe('local');
    expect(placeTurn([remote, local], { zones: false })).toBe('remote');
  });

  it('failure-shares: avoids an engine with failures', () => {
    const failing = candidate('failing', { failureShare: 0.3 });
    const busy = candidate('busy', { load: 5 });
    expect(placeTurn([failing, busy])).toBe('busy');
    expect(placeTurn([failing, busy], { 'failure-shares': false })).toBe('failing');
  });
});

describe('baseline placement policies', () => {
  const candidates = [
    candidate('last', { load: 20 }),
    candidate('busy', { load: 3 }),
    candidate('idle', { load: 1, availabilityZone: 'b', failureShare: 0.9 }),
  ];

  it('round-robin cycles through the targets', () => {
    const { engine } = createPlacementPolicies({
      ...DEFAULT_DECISION_SWITCHES,
      'placement-policy': 'round-robin',
    });
    const input = {
      availabilityZone: 'a',
      promptTokens: 0,
      lastTarget: undefined,
      lastTargetCachedTokens: 0,
      newConnectionMilliseconds: 0,
      candidates,
    };
    const ids = [1, 2, 3, 4].map(() => engine.place(input, RANDOM)?.candidate.id);
    expect(ids).toEqual(['last', 'busy', 'idle', 'last']);
    expect(engine.place({ ...input, candidates: [] }, RANDOM)).toBeUndefined();
  });

  it('least-load ignores everything but the load', () => {
    expect(placeTurn(candidates, { 'placement-policy': 'least-load' })).toBe('idle');
  });

  it('prefix-affinity ignores everything but the cached tokens', () => {
    expect(placeTurn(candidates, { 'placement-policy': 'prefix-affinity' })).toBe('last');
  });
});

describe('enginePriority', () => {
  it('preserves the order of route priorities and is at most 9', () => {
    const priorities = [0, 1, 2, 7].map((priority) => enginePriority({ priority }, undefined));
    expect(priorities).toEqual([2, 5, 8, 9]);
  });

  it('with fair shares, puts every team over its share behind all teams within theirs', () => {
    const routes = [{ priority: 0 }, { priority: 1 }, { priority: 2 }];
    const teams = [undefined, { priority: 0 }, { priority: 1 }, { priority: 3 }];
    const prioritiesOf = (isOverShare: boolean) =>
      teams.map((team) => routes.map((route) => enginePriority(route, team, { isOverShare })));
    expect(prioritiesOf(false)).toEqual([
      [2, 5, 7],
      [0, 1, 2],
      [3, 4, 5],
      [7, 7, 7],
    ]);
    expect(new Set(prioritiesOf(true).map(String))).toEqual(new Set(['8,9,9']));
  });
});
