import { SeededRandom } from '../../core';
import {
  ALL_DECISIONS,
  type DecisionSwitches,
  type PlacementCandidate,
  createPlacers,
  decisionSwitchesSchema,
  enginePriority,
} from '..';

const RANDOM = new SeededRandom(1);

function candidate(id: string, facts: Partial<PlacementCandidate> = {}): PlacementCandidate {
  return {
    id,
    availabilityZone: 'a',
    slots: 6,
    load: 0,
    failureShare: 0,
    isPaused: false,
    heldTokens: 0,
    ...facts,
  };
}

/** Places a turn of 4,000 tokens that `last` holds. */
function placeTurn(
  candidates: readonly PlacementCandidate[],
  switches: Partial<DecisionSwitches> = {},
): string | undefined {
  const { engine } = createPlacers({ ...ALL_DECISIONS, ...switches });
  const prompt = { promptTokens: 4000, lastTarget: 'last', lastHeldTokens: 3900 };
  const snapshot = { availabilityZone: 'a', ...prompt, candidates };
  return engine.place(snapshot, RANDOM)?.candidate.id;
}

describe('switches of the placement', () => {
  const last = candidate('last', { load: 5 });
  const idle = candidate('idle');

  it('are all on unless the settings say otherwise', () => {
    expect(
      Object.values(ALL_DECISIONS).every((value) => value === true || value === 'soonest'),
    ).toBe(true);
    expect(decisionSwitchesSchema.safeParse({ zone: false }).success).toBe(false);
  });

  it('last-target: the engine of the last turn is preferred', () => {
    expect(placeTurn([last, idle])).toBe('last');
    expect(placeTurn([last, idle], { 'last-target': false })).toBe('idle');
  });

  it('held-parts: an engine that holds a part is preferred', () => {
    const holding = candidate('holding', { heldTokens: 2500, load: 5 });
    expect(placeTurn([holding, idle])).toBe('holding');
    expect(placeTurn([holding, idle], { 'held-parts': false })).toBe('idle');
  });

  it('zones: a near engine is preferred', () => {
    const far = candidate('far', { availabilityZone: 'b' });
    const near = candidate('near', { load: 1 });
    expect(placeTurn([far, near])).toBe('near');
    expect(placeTurn([far, near], { zones: false })).toBe('far');
  });

  it('failure-shares: an engine that fails is avoided', () => {
    const failing = candidate('failing', { failureShare: 0.3 });
    const busy = candidate('busy', { load: 5 });
    expect(placeTurn([failing, busy])).toBe('busy');
    expect(placeTurn([failing, busy], { 'failure-shares': false })).toBe('failing');
  });
});

describe('baselines of the placement', () => {
  const candidates = [
    candidate('last', { load: 20 }),
    candidate('busy', { load: 3 }),
    candidate('idle', { load: 1, availabilityZone: 'b', failureShare: 0.9 }),
  ];

  it('round robin takes target after target', () => {
    const { engine } = createPlacers({ ...ALL_DECISIONS, 'placement-policy': 'round-robin' });
    const snapshot = {
      availabilityZone: 'a',
      promptTokens: 0,
      lastTarget: undefined,
      lastHeldTokens: 0,
      candidates,
    };
    const ids = [1, 2, 3, 4].map(() => engine.place(snapshot, RANDOM)?.candidate.id);
    expect(ids).toEqual(['last', 'busy', 'idle', 'last']);
    expect(engine.place({ ...snapshot, candidates: [] }, RANDOM)).toBeUndefined();
  });

  it('least load goes by the load alone', () => {
    expect(placeTurn(candidates, { 'placement-policy': 'least-load' })).toBe('idle');
  });

  it('prefix affinity goes by what is held alone', () => {
    expect(placeTurn(candidates, { 'placement-policy': 'prefix-affinity' })).toBe('last');
  });
});

describe('the priority that engines are told', () => {
  it('keeps the order of routes within what engines know', () => {
    const priorities = [0, 1, 2, 7].map((priority) => enginePriority({ priority }, undefined));
    expect(priorities).toEqual([2, 5, 8, 9]);
  });
});
