import { SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { DEFAULT_DECISION_SWITCHES, createPlacementPolicies } from '../../decisions';
import { type PlacementRequest, TargetChooser, TargetDirectory, TargetState } from '..';

const CLOCK = new ManualClock();
const RANDOM = new SeededRandom(1);
const CACHE_TOKENS = 200_000;
const POLICIES = createPlacementPolicies(DEFAULT_DECISION_SWITCHES);

function target(id: string, availabilityZone = 'a', slots = 6): TargetState {
  const listed = { id, service: 's', address: '10.0.0.1:80', availabilityZone, slots };
  return new TargetState({ ...listed, draining: false }, CLOCK);
}

function request(overrides: Partial<PlacementRequest>): PlacementRequest {
  return { parts: [], promptTokens: 0, lastTarget: undefined, cachedTokens: 0, ...overrides };
}

/** Applies a placement policy to targets on behalf of a gateway in availability zone `a`. */
class TestPlacement {
  readonly #kind: 'engine' | 'slot';

  constructor(kind: 'engine' | 'slot') {
    this.#kind = kind;
  }

  place(states: readonly TargetState[], { parts, ...prompt }: PlacementRequest) {
    const decision = POLICIES[this.#kind].place(
      {
        availabilityZone: 'a',
        promptTokens: prompt.promptTokens,
        lastTarget: prompt.lastTarget,
        lastTargetCachedTokens: prompt.cachedTokens,
        newConnectionMilliseconds: 0,
        candidates: states.map((state) => state.candidateAt(CLOCK.monotonic(), parts, true)),
      },
      RANDOM,
    );
    const state = states.find((other) => other.target.id === decision?.candidate.id);
    return state === undefined ? undefined : { state };
  }
}

describe('placement of a turn on an engine', () => {
  const placement = new TestPlacement('engine');

  describe('for a conversation whose last part grows', () => {
    const earlierParts = [
      { id: 'shared', tokens: 2500 },
      { id: 'own', tokens: 1200 },
    ];
    const laterParts = [
      { id: 'shared', tokens: 2500 },
      { id: 'own', tokens: 2900 },
    ];

    it('counts cached prompt tokens and generated tokens as cached', () => {
      const state = target('e1');
      state.recordParts(earlierParts, 30, CACHE_TOKENS);
      expect(state.cachedTokens(laterParts)).toBe(2500 + 1230);
    });

    it('evicts the least recently used part when the cache capacity is exceeded', () => {
      const state = target('e1');
      state.recordParts([{ id: 'old', tokens: 2000 }], 0, 4000);
      state.recordParts(earlierParts, 30, 4000);
      state.recordParts(earlierParts, 30, 4000);
      expect(state.cachedTokens([{ id: 'old', tokens: 2000 }])).toBe(0);
      expect(state.cachedTokens(earlierParts)).toBe(3700);
    });

    it('prefers the engine that caches the conversation over an idle one', () => {
      const caching = target('e1');
      const idle = target('e2');
      idle.recordParts(earlierParts.slice(0, 1), 0, CACHE_TOKENS);
      caching.recordParts(earlierParts, 30, CACHE_TOKENS);
      caching.inFlight = 5;
      const placed = placement.place(
        [idle, caching],
        request({ parts: laterParts, promptTokens: 5400 }),
      );
      expect(placed?.state).toBe(caching);
    });

    it('selects the last target although only another gateway has sent to it', () => {
      const states = [target('e1'), target('e2'), target('e3')];
      const lastTurn: Partial<PlacementRequest> = { lastTarget: 'e3', cachedTokens: 3730 };
      const placed = placement.place(
        states,
        request({ parts: laterParts, promptTokens: 5400, ...lastTurn }),
      );
      expect(placed?.state.target.id).toBe('e3');
    });

    it('selects another engine when contention costs more than the prefill', () => {
      const caching = target('e1');
      caching.recordParts(earlierParts, 30, CACHE_TOKENS);
      caching.inFlightFromOthers = 60;
      const placed = placement.place(
        [caching, target('e2')],
        request({ parts: laterParts, promptTokens: 5400 }),
      );
      expect(placed?.state.target.id).toBe('e2');
    });
  });
});

describe('placement on a service with slots', () => {
  const placement = new TestPlacement('slot');

  it('selects the target with the largest share of free slots, in the same zone first', () => {
    const busy = target('p1');
    busy.inFlight = 3;
    const states = [busy, target('p2', 'b'), target('p3')];
    expect(placement.place(states, request({}))?.state.target.id).toBe('p3');
  });

  it('excludes an unreachable target unless all are unreachable', () => {
    const paused = target('p1');
    paused.recordOutcome('unreachable');
    const reachable = target('p2', 'b');
    expect(placement.place([paused, reachable], request({}))?.state).toBe(reachable);
    expect(placement.place([paused], request({}))?.state).toBe(paused);
  });

  it('avoids a failing target with more free slots until its failure share has decayed', () => {
    const failing = target('p1');
    const busy = target('p2');
    busy.inFlight = 4;
    for (let count = 0; count < 4; count += 1) {
      failing.recordOutcome('answered-with-error');
      failing.recordOutcome('answered');
      failing.recordOutcome('answered-with-error');
    }
    expect(placement.place([failing, busy], request({}))?.state).toBe(busy);
    CLOCK.advance(20_000);
    expect(placement.place([failing, busy], request({}))?.state).toBe(failing);
  });

  it('keeps a target paused whose address belongs to another server', () => {
    const replaced = target('p1');
    replaced.recordOutcome('address-reused');
    replaced.recordOutcome('answered');
    replaced.recordOutcome('unreachable');
    CLOCK.advance(60_000);
    expect(replaced.isPaused).toBe(true);
  });
});

describe('placement of a turn whose last target has restarted', () => {
  // With an idle engine beside the loaded last target, only the latter's cache decides.
  function chooseAfterRestart(bornAt: number, lastTurnEndedAt: number) {
    const shared = { clock: new ManualClock(), random: new SeededRandom(7) };
    const targets = new TargetDirectory({
      ...shared,
      logger: createSilentLogger(),
      source: { list: () => Promise.resolve([]) },
    });
    const listed = { service: 's', slots: 6, draining: false, availabilityZone: 'a', bornAt };
    targets.update(['last', 'idle'].map((id) => ({ ...listed, id, address: `10.0.0.1:${id}` })));
    const last = targets.get('last');
    if (last !== undefined) last.inFlight = 5;
    const chooser = new TargetChooser({ ...shared, targets, availabilityZone: 'a' });
    const lastTurn = { lastTarget: 'last', cachedTokens: 5000, lastTurnEndedAt };
    const placement = request({ promptTokens: 5400, ...lastTurn });
    const choice = { service: 's', policy: POLICIES.engine, placement };
    const chosen = chooser.choose({ ...choice, tried: new Set(), connectionLimit: 10 });
    return chosen?.state.target.id;
  }

  it('does not count the cache of the former run', () => {
    expect(chooseAfterRestart(20_000, 10_000)).toBe('idle');
    expect(chooseAfterRestart(20_000, 20_500)).toBe('idle');
  });

  it('counts the cache of a turn that ended after the restart', () => {
    expect(chooseAfterRestart(20_000, 30_000)).toBe('last');
  });
});

describe('placement on a service that is large enough to be sampled', () => {
  function largeService(count: number) {
    const shared = { clock: CLOCK, random: new SeededRandom(7) };
    const targets = new TargetDirectory({
      ...shared,
      logger: createSilentLogger(),
      source: { list: () => Promise.resolve([]) },
    });
    const listed = { service: 's', slots: 6, draining: false };
    targets.update(
      Array.from({ length: count }, (_, index) => ({
        ...listed,
        id: `t${index}`,
        address: `10.0.0.1:${index}`,
        availabilityZone: `zone-${index % 9}`,
      })),
    );
    const chooser = new TargetChooser({ ...shared, targets, availabilityZone: 'zone-1' });
    const choose = (overrides: Partial<PlacementRequest> = {}, tried: readonly string[] = []) =>
      chooser.choose({
        service: 's',
        policy: POLICIES.engine,
        placement: request(overrides),
        tried: new Set(tried),
        connectionLimit: 10,
      });
    return { targets, chooser, choose };
  }

  const prompt = {
    parts: [
      { id: 'shared', tokens: 4000 },
      { id: 'own', tokens: 500 },
    ],
    promptTokens: 4500,
  };

  it('compares a bounded number of targets', () => {
    const { choose } = largeService(1800);
    expect(choose(prompt)?.candidates).toBeLessThanOrEqual(48);
  });

  it('finds the engine of the previous turn', () => {
    const { choose } = largeService(1800);
    const placed = choose({ ...prompt, lastTarget: 't1717', cachedTokens: 4400 });
    expect(placed?.state.target.id).toBe('t1717');
  });

  it('finds an engine that caches the first part of the prompt', () => {
    const { targets, chooser, choose } = largeService(1800);
    const caching = targets.get('t900');
    if (caching === undefined) throw new Error('test target is not in the directory');
    chooser.recordParts(caching, prompt.parts, 0, CACHE_TOKENS);
    expect(choose(prompt)?.state).toBe(caching);
  });

  it('compares all targets when no target of the sample is available', () => {
    const { targets, choose } = largeService(1800);
    for (const state of targets.all()) state.inFlight = 10;
    const free = targets.get('t5');
    if (free === undefined) throw new Error('test target is not in the directory');
    free.inFlight = 0;
    expect(choose(prompt)?.state).toBe(free);
  });

  it('does not exceed the slots of any target in a burst of calls', () => {
    const { targets, choose } = largeService(200);
    for (let call = 0; call < 600; call += 1) {
      const placed = choose();
      if (placed !== undefined) placed.state.inFlight += 1;
    }
    const loads = [...targets.all()].map(({ inFlight }) => inFlight);
    expect(Math.max(...loads)).toBeLessThanOrEqual(6);
  });
});
