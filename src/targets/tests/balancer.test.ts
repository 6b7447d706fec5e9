import { SeededRandom } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { EnginePlacer, type PlacementRequest, SlotPlacer, TargetState } from '..';

const CLOCK = new ManualClock();
const RANDOM = new SeededRandom(1);
const MEMORY_TOKENS = 200_000;

function target(id: string, availabilityZone = 'a', slots = 6): TargetState {
  const listed = { id, service: 's', address: '10.0.0.1:80', availabilityZone, slots };
  return new TargetState({ ...listed, draining: false }, CLOCK);
}

function request(facts: Partial<PlacementRequest>): PlacementRequest {
  return { parts: [], promptTokens: 0, lastTarget: undefined, heldTokens: 0, ...facts };
}

describe('the choice of an engine', () => {
  const placer = new EnginePlacer('a');

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
      const placed = placer.place(
        [idle, holding],
        request({ parts: grown, promptTokens: 5400 }),
        RANDOM,
      );
      expect(placed?.state).toBe(holding);
    });

    it('follows what another gateway has noted of it', () => {
      const states = [target('e1'), target('e2'), target('e3')];
      const known = { lastTarget: 'e3', heldTokens: 3730 };
      const placed = placer.place(
        states,
        request({ parts: grown, promptTokens: 5400, ...known }),
        RANDOM,
      );
      expect(placed?.state.target.id).toBe('e3');
    });

    it('leaves an engine whose company costs more than reading it again', () => {
      const holding = target('e1');
      holding.noteParts(said, 30, MEMORY_TOKENS);
      holding.inFlightElsewhere = 60;
      const placed = placer.place(
        [holding, target('e2')],
        request({ parts: grown, promptTokens: 5400 }),
        RANDOM,
      );
      expect(placed?.state.target.id).toBe('e2');
    });
  });
});

describe('the choice of a plain server', () => {
  const placer = new SlotPlacer('a');

  it('goes to the freest, the near one first', () => {
    const busy = target('p1');
    busy.inFlight = 3;
    const states = [busy, target('p2', 'b'), target('p3')];
    expect(placer.place(states, request({}), RANDOM)?.state.target.id).toBe('p3');
  });

  it('passes over those that failed lately, unless all did', () => {
    const failed = target('p1');
    failed.noteFailure();
    const sound = target('p2', 'b');
    expect(placer.place([failed, sound], request({}), RANDOM)?.state).toBe(sound);
    expect(placer.place([failed], request({}), RANDOM)?.state).toBe(failed);
  });

  it('prefers one that does not fail over a freer one that does, and forgives in time', () => {
    const failing = target('p1');
    const busy = target('p2');
    busy.inFlight = 4;
    for (let count = 0; count < 4; count += 1) {
      failing.noteError();
      failing.noteSuccess();
      failing.noteError();
    }
    expect(placer.place([failing, busy], request({}), RANDOM)?.state).toBe(busy);
    CLOCK.advance(20_000);
    expect(placer.place([failing, busy], request({}), RANDOM)?.state).toBe(failing);
  });

  it('passes over one whose address belongs to another for ever', () => {
    const gone = target('p1');
    gone.noteGone();
    gone.noteSuccess();
    gone.noteFailure();
    CLOCK.advance(60_000);
    expect(gone.isPaused).toBe(true);
  });
});
