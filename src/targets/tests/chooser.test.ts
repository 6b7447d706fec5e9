import { SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { ALL_DECISIONS, createPlacers } from '../../decisions';
import { type PlacementRequest, TargetChooser, TargetDirectory, TargetState } from '..';

const CLOCK = new ManualClock();
const RANDOM = new SeededRandom(1);
const MEMORY_TOKENS = 200_000;
const PLACERS = createPlacers(ALL_DECISIONS);

function target(id: string, availabilityZone = 'a', slots = 6): TargetState {
  const listed = { id, service: 's', address: '10.0.0.1:80', availabilityZone, slots };
  return new TargetState({ ...listed, draining: false }, CLOCK);
}

function request(facts: Partial<PlacementRequest>): PlacementRequest {
  return { parts: [], promptTokens: 0, lastTarget: undefined, heldTokens: 0, ...facts };
}

/** Chooses among targets, as a gateway in zone `a` does. */
class TestPlacer {
  readonly #kind: 'engine' | 'slot';

  constructor(kind: 'engine' | 'slot') {
    this.#kind = kind;
  }

  place(states: readonly TargetState[], { parts, ...facts }: PlacementRequest) {
    const decision = PLACERS[this.#kind].place(
      {
        availabilityZone: 'a',
        promptTokens: facts.promptTokens,
        lastTarget: facts.lastTarget,
        lastHeldTokens: facts.heldTokens,
        candidates: states.map((state) => state.candidateAt(CLOCK.monotonic(), parts)),
      },
      RANDOM,
    );
    const state = states.find((other) => other.target.id === decision?.candidate.id);
    return state === undefined ? undefined : { state };
  }
}

describe('the choice of an engine', () => {
  const placer = new TestPlacer('engine');

  describe('for a conversation whose last part grows', () => {
    const said = [
      { id: 'shared', tokens: 2500 },
      { id: 'own', tokens: 1200 },
    ];
    const grown = [
      { id: 'shared', tokens: 2500 },
      { id: 'own', tokens: 2900 },
    ];

    it('counts what the engine read of it, and what it generated', () => {
      const state = target('e1');
      state.noteParts(said, 30, MEMORY_TOKENS);
      expect(state.heldTokens(grown)).toBe(2500 + 1230);
    });

    it('forgets what the engine has no memory for, the part unused for longest first', () => {
      const state = target('e1');
      state.noteParts([{ id: 'old', tokens: 2000 }], 0, 4000);
      state.noteParts(said, 30, 4000);
      state.noteParts(said, 30, 4000);
      expect(state.heldTokens([{ id: 'old', tokens: 2000 }])).toBe(0);
      expect(state.heldTokens(said)).toBe(3700);
    });

    it('stays with the engine that holds it, though others are idle', () => {
      const holding = target('e1');
      const idle = target('e2');
      idle.noteParts(said.slice(0, 1), 0, MEMORY_TOKENS);
      holding.noteParts(said, 30, MEMORY_TOKENS);
      holding.inFlight = 5;
      const placed = placer.place([idle, holding], request({ parts: grown, promptTokens: 5400 }));
      expect(placed?.state).toBe(holding);
    });

    it('follows what another gateway has noted of it', () => {
      const states = [target('e1'), target('e2'), target('e3')];
      const known = { lastTarget: 'e3', heldTokens: 3730 };
      const placed = placer.place(states, request({ parts: grown, promptTokens: 5400, ...known }));
      expect(placed?.state.target.id).toBe('e3');
    });

    it('leaves an engine whose company costs more than reading it again', () => {
      const holding = target('e1');
      holding.noteParts(said, 30, MEMORY_TOKENS);
      holding.inFlightElsewhere = 60;
      const placed = placer.place(
        [holding, target('e2')],
        request({ parts: grown, promptTokens: 5400 }),
      );
      expect(placed?.state.target.id).toBe('e2');
    });
  });
});

describe('the choice of a plain server', () => {
  const placer = new TestPlacer('slot');

  it('goes to the freest, the near one first', () => {
    const busy = target('p1');
    busy.inFlight = 3;
    const states = [busy, target('p2', 'b'), target('p3')];
    expect(placer.place(states, request({}))?.state.target.id).toBe('p3');
  });

  it('passes over those that failed lately, unless all did', () => {
    const failed = target('p1');
    failed.note('unreachable');
    const sound = target('p2', 'b');
    expect(placer.place([failed, sound], request({}))?.state).toBe(sound);
    expect(placer.place([failed], request({}))?.state).toBe(failed);
  });

  it('prefers one that does not fail over a freer one that does, and forgives in time', () => {
    const failing = target('p1');
    const busy = target('p2');
    busy.inFlight = 4;
    for (let count = 0; count < 4; count += 1) {
      failing.note('answered-with-error');
      failing.note('answered');
      failing.note('answered-with-error');
    }
    expect(placer.place([failing, busy], request({}))?.state).toBe(busy);
    CLOCK.advance(20_000);
    expect(placer.place([failing, busy], request({}))?.state).toBe(failing);
  });

  it('passes over one whose address belongs to another for ever', () => {
    const gone = target('p1');
    gone.note('address-reused');
    gone.note('answered');
    gone.note('unreachable');
    CLOCK.advance(60_000);
    expect(gone.isPaused).toBe(true);
  });
});

describe('a service with more targets than are weighed', () => {
  function largeService(count: number) {
    const parts = { clock: CLOCK, random: new SeededRandom(7) };
    const targets = new TargetDirectory({
      ...parts,
      logger: createSilentLogger(),
      source: { list: () => Promise.resolve([]) },
    });
    const listed = { service: 's', slots: 6, draining: false };
    targets.take(
      Array.from({ length: count }, (_, index) => ({
        ...listed,
        id: `t${index}`,
        address: `10.0.0.1:${index}`,
        availabilityZone: `zone-${index % 9}`,
      })),
    );
    const chooser = new TargetChooser({ ...parts, targets, availabilityZone: 'zone-1' });
    const choose = (facts: Partial<PlacementRequest> = {}, tried: readonly string[] = []) =>
      chooser.choose({
        service: 's',
        placer: PLACERS.engine,
        placement: request(facts),
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

  it('weighs a bounded number of them', () => {
    const { choose } = largeService(1800);
    expect(choose(prompt)?.candidates).toBeLessThanOrEqual(48);
  });

  it('finds the engine of the last turn', () => {
    const { choose } = largeService(1800);
    const placed = choose({ ...prompt, lastTarget: 't1717', heldTokens: 4400 });
    expect(placed?.state.target.id).toBe('t1717');
  });

  it('finds an engine that has read the beginning of the prompt', () => {
    const { targets, chooser, choose } = largeService(1800);
    const holding = targets.get('t900');
    if (holding === undefined) throw new Error('not listed');
    chooser.noteParts(holding, prompt.parts, 0, MEMORY_TOKENS);
    expect(choose(prompt)?.state).toBe(holding);
  });

  it('looks at all where none of the sample may be used', () => {
    const { targets, choose } = largeService(1800);
    for (const state of targets.all()) state.inFlight = 10;
    const free = targets.get('t5');
    if (free === undefined) throw new Error('not listed');
    free.inFlight = 0;
    expect(choose(prompt)?.state).toBe(free);
  });

  it('takes what is free in a burst of calls, though it sees a sample only', () => {
    const { targets, choose } = largeService(200);
    for (let call = 0; call < 600; call += 1) {
      const placed = choose();
      if (placed !== undefined) placed.state.inFlight += 1;
    }
    const loads = [...targets.all()].map(({ inFlight }) => inFlight);
    expect(Math.max(...loads)).toBeLessThanOrEqual(6);
  });
});
