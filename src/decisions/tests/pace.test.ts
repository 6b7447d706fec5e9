import { SeededRandom } from '../../core';
import { ServicePace, type TurnObservation, USUAL_SLOWNESS, nextSlowness, slownessAt } from '..';

/** An engine in simulated time; milliseconds. */
interface Engine {
  readonly first: number;
  readonly perToken: number;
  readonly neighborFirst: number;
  readonly waiting: number;
  readonly gap: number;
  readonly gapNeighbor: number;
}

const ENGINE: Engine = {
  first: 20,
  perToken: 1 / 38,
  neighborFirst: 3,
  waiting: 40,
  gap: 23,
  gapNeighbor: 0.8,
};

const ENGINES: readonly Engine[] = [
  ENGINE,
  { first: 60, perToken: 1 / 12, neighborFirst: 8, waiting: 90, gap: 60, gapNeighbor: 4 },
  { first: 8, perToken: 1 / 90, neighborFirst: 1.5, waiting: 15, gap: 9, gapNeighbor: 0.4 },
];

const SLOTS = 8;

/** A turn at an engine: drawn prompt and load, and times that vary by a tenth. */
function turnAt(engine: Engine, random: SeededRandom, slowness = 1): TurnObservation {
  const unreadTokens = random.fraction() ** 2 * 5000;
  const load = Math.floor(random.fraction() * 14);
  const busy = Math.min(load, SLOTS);
  const first =
    engine.first +
    unreadTokens * engine.perToken +
    busy * engine.neighborFirst +
    Math.max(0, load - SLOTS) * engine.waiting;
  const events = 3 + Math.floor(random.fraction() * 9);
  const gap = engine.gap + busy * engine.gapNeighbor;
  const noise = () => 0.9 + random.fraction() * 0.2;
  return {
    unreadTokens,
    load,
    slots: SLOTS,
    firstEventMilliseconds: first * noise() * slowness,
    streamMilliseconds: gap * (events - 1) * noise() * slowness,
    events,
  };
}

describe('the pace of engines', () => {
  describe('after 200 turns', () => {
    it.each(ENGINES)('is known within a tenth, whatever the prior: %j', (engine) => {
      const random = new SeededRandom(3);
      const service = new ServicePace();
      let gaps = 6;
      for (let turn = 0; turn < 200; turn += 1) {
        const observation = turnAt(engine, random);
        gaps += (observation.events - 1 - gaps) * 0.02;
        service.note(observation);
      }
      const { perUnreadToken, perWaiting, perNeighbor } = service.pace;
      // Of the turns seen, the newest fifty count most.
      const within = (value: number, true_: number) => {
        expect(Math.abs(value / true_ - 1)).toBeLessThan(0.1);
      };
      within(perUnreadToken, engine.perToken);
      within(perWaiting, engine.waiting);
      within(perNeighbor, engine.neighborFirst + gaps * engine.gapNeighbor);
    });
  });

  it('is not spoiled by a turn in twenty that stalls for seconds', () => {
    const random = new SeededRandom(4);
    const service = new ServicePace();
    for (let turn = 0; turn < 400; turn += 1) {
      const observation = turnAt(ENGINE, random);
      const stalled = turn % 20 === 0 ? 3000 : 0;
      const firstEventMilliseconds = observation.firstEventMilliseconds + stalled;
      service.note({ ...observation, firstEventMilliseconds });
    }
    expect(service.pace.perUnreadToken).toBeGreaterThan(ENGINE.perToken * 0.8);
    expect(service.pace.perUnreadToken).toBeLessThan(ENGINE.perToken * 1.2);
  });
});

describe('the slowness of one engine among others', () => {
  function learned(): { readonly service: ServicePace; readonly random: SeededRandom } {
    const random = new SeededRandom(5);
    const service = new ServicePace();
    for (let turn = 0; turn < 200; turn += 1) service.note(turnAt(ENGINE, random));
    return { service, random };
  }

  it('passes for chance at any load while the engine keeps its pace', () => {
    const { service, random } = learned();
    let slowness = USUAL_SLOWNESS;
    let most = 1;
    for (let turn = 0; turn < 300; turn += 1) {
      const ratio = service.note(turnAt(ENGINE, random));
      slowness = nextSlowness(slowness, { count: 1, logarithms: Math.log(ratio) }, turn * 100);
      most = Math.max(most, slownessAt(slowness, turn * 100));
    }
    expect(most).toBe(1);
  });

  it('is known within a second once the engine takes three times as long', () => {
    const { service, random } = learned();
    let slowness = USUAL_SLOWNESS;
    for (let turn = 0; turn < 9; turn += 1) {
      const ratio = service.note(turnAt(ENGINE, random, 3));
      slowness = nextSlowness(slowness, { count: 1, logarithms: Math.log(ratio) }, turn * 110);
    }
    expect(slownessAt(slowness, 990)).toBeGreaterThan(1.5);
  });

  it('is forgiven after some seconds in which no turn was sent there', () => {
    const slow = nextSlowness(USUAL_SLOWNESS, { count: 20, logarithms: 20 * Math.log(4) }, 0);
    expect(slownessAt(slow, 0)).toBeGreaterThan(2.5);
    expect(slownessAt(slow, 10_000)).toBe(1);
  });
});
