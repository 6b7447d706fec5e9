import { type Logger, Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { DEFAULT_DECISION_SWITCHES } from '../../decisions';
import { type Route, RouteTable } from '../../routes';
import { type DemandEntry, EngineDemandTracker } from '../../targets';
import { EngineAdmission } from '../engine-admission';
import type { Exchange } from '../exchange';
import { FairShares } from '../fair-shares';
import type { Turn } from '../turn-preparer';

const TEAMS = [
  { name: 'red', keyDigests: [], priority: 1, quota: { requestsPerSecond: 10, burst: 10 } },
  { name: 'blue', keyDigests: [], priority: 1, quota: { requestsPerSecond: 30, burst: 10 } },
  { name: 'low', keyDigests: [], priority: 2, quota: undefined },
];

const ROUTE = { services: [{ service: 'models', weight: 1 }], priority: 0 } as unknown as Route;

const TABLE = new RouteTable({
  version: 1,
  routes: [],
  services: [
    { name: 'models', connectionLimit: 9, engine: { slots: 6, cacheTokens: 1, tokensPerEvent: 1 } },
    { name: 'plain', connectionLimit: 9, engine: undefined },
  ],
  limits: { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 },
  teams: TEAMS,
});

/** Of 60 slots 48 are shared; red has 70 of 102 requests in flight, its share is 48 - 32 = 16. */
const FLOOD: readonly DemandEntry[] = [
  ['red', 3, 70],
  ['blue', 3, 30],
  ['low', 6, 2],
];

/** A gateway's decisions on turns at 60 engine slots. */
class Gateway {
  readonly clock = new ManualClock();
  readonly metrics = new Metrics();
  readonly lines: Record<string, unknown>[] = [];
  readonly decisions: Record<string, unknown>[] = [];
  readonly tracker = new EngineDemandTracker();
  entries: readonly DemandEntry[] | undefined = FLOOD;
  load = 102;
  readonly #admission: EngineAdmission;

  constructor() {
    const logger: Logger = createSilentLogger();
    jest.spyOn(logger, 'info').mockImplementation(((line: Record<string, unknown>) => {
      this.lines.push(line);
    }) as Logger['info']);
    const engines = () => ({ load: this.load, slots: 60 });
    const demand = {
      current: () =>
        this.entries === undefined ? undefined : { entries: this.entries, ageMilliseconds: 150 },
    };
    const { clock, metrics } = this;
    const routes = () => TABLE;
    this.#admission = new EngineAdmission({
      chooser: { loadOf: engines },
      tracker: this.tracker,
      fairShares: new FairShares({ demand, engines, routes, clock, logger, metrics }),
      durations: { averageOf: () => 400 },
      switches: DEFAULT_DECISION_SWITCHES,
      random: new SeededRandom(1),
    });
  }

  refusalCode(team: string, startsProgram = true): string | undefined {
    return this.#admission.findRefusal(this.#turn(team, ROUTE), startsProgram)?.code;
  }

  retryAfterSeconds(team: string): number | undefined {
    return this.#admission.findRefusal(this.#turn(team, ROUTE), true)?.retryAfterSeconds;
  }

  /** Sends a turn; resolves with its priority and the demand of this gateway while it runs. */
  send(team: string, route = ROUTE) {
    return this.#admission.run(this.#turn(team, route), (priority) =>
      Promise.resolve({ priority, demand: this.tracker.entries() }),
    );
  }

  fail(team: string): Promise<never> {
    return this.#admission.run(this.#turn(team, ROUTE), () => Promise.reject(new Error('broken')));
  }

  #turn(name: string, route: Route): Turn {
    const team = TEAMS.find((other) => other.name === name);
    const recordDecision = (decision: Record<string, unknown>) => this.decisions.push(decision);
    const exchange = { team, recordDecision } as unknown as Exchange;
    return { exchange, route, table: TABLE } as Turn;
  }
}

describe('EngineAdmission', () => {
  let gateway: Gateway;

  beforeEach(() => {
    gateway = new Gateway();
  });

  describe('while one team floods the engines', () => {
    it('refuses first turns of that team only', () => {
      expect(gateway.refusalCode('red')).toBe('team_over_share');
      expect(gateway.refusalCode('blue')).toBeUndefined();
      expect(gateway.retryAfterSeconds('red')).toBeGreaterThan(0.3);
    });

    it('never refuses a turn of a program in progress', () => {
      expect(gateway.refusalCode('red', false)).toBeUndefined();
    });

    it('sends turns of that team with the lowest priorities', async () => {
      expect((await gateway.send('red')).priority).toBe(8);
      expect((await gateway.send('red', { ...ROUTE, priority: 1 })).priority).toBe(9);
      expect((await gateway.send('blue')).priority).toBe(3);
    });

    it('does not count the excess of that team as requests ahead', () => {
      gateway.refusalCode('blue');
      gateway.refusalCode('low');
      expect(gateway.decisions).toMatchObject([
        { step: 'overload', load: 102, slots: 60, ahead: 48, share: 30, requests: 30, age: 150 },
        { step: 'overload', ahead: 48, share: 2, requests: 2 },
      ]);
    });

    it('takes the fresh load, as the totals are older', () => {
      gateway.load = 160;
      expect(gateway.refusalCode('blue')).toBe('overloaded');
      expect(gateway.decisions).toMatchObject([{ ahead: 106 }]);
    });
  });

  describe('while all teams send more at once', () => {
    it('refuses teams of the same priority alike, and none as over its share', () => {
      gateway.entries = [
        ['red', 3, 27],
        ['blue', 3, 81],
      ];
      gateway.load = 108;
      const codes = [gateway.refusalCode('red'), gateway.refusalCode('blue')];
      expect(codes).toEqual(['overloaded', 'overloaded']);
    });
  });

  describe('while the demand is unknown', () => {
    beforeEach(() => {
      gateway.entries = undefined;
    });

    it('decides as without shares', async () => {
      expect(gateway.refusalCode('blue')).toBe('overloaded');
      expect((await gateway.send('red')).priority).toBe(3);
      expect(gateway.decisions).toEqual([{ step: 'overload', load: 102, slots: 60 }]);
    });
  });

  describe('the demand of this gateway', () => {
    it('has each turn with its priority without regard to shares until its end', async () => {
      expect(await gateway.send('red')).toEqual({ priority: 8, demand: [['red', 3, 1]] });
      await expect(gateway.fail('red')).rejects.toThrow('broken');
      expect(gateway.tracker.entries()).toEqual([]);
    });

    it('has no turns at plain services, whose priority does not depend on shares', async () => {
      const plain = { ...ROUTE, services: [{ service: 'plain', weight: 1 }] };
      expect(await gateway.send('red', plain)).toEqual({ priority: 3, demand: [] });
    });
  });

  describe('log and metrics', () => {
    it('has a line when a team exceeds its share, and when it no longer does', () => {
      gateway.refusalCode('blue');
      gateway.refusalCode('red');
      gateway.clock.advance(1000);
      gateway.entries = undefined;
      gateway.refusalCode('blue');
      expect(gateway.lines).toMatchObject([
        { event: 'team-over-share', team: 'red', requests: 70, share: 16, slots: 60, age: 150 },
        { event: 'team-within-share', team: 'red', requests: 0 },
      ]);
      expect(gateway.metrics.render()).toContain('team_over_share_total 1');
    });

    it('has one line per team per second, and the last state is written', () => {
      for (let update = 0; update < 25; update += 1) {
        gateway.entries = update % 2 === 0 ? [...FLOOD] : [['red', 3, 1]];
        gateway.refusalCode('blue');
        gateway.clock.advance(100);
      }
      gateway.clock.advance(1000);
      gateway.entries = [...FLOOD];
      gateway.refusalCode('blue');
      expect(gateway.lines.length).toBeLessThanOrEqual(4);
      expect(gateway.lines.at(-1)).toMatchObject({ event: 'team-over-share' });
    });
  });
});
