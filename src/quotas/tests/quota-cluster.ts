import { type CancelTimer, type Clock, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { type Quota, type Team, TeamDirectory } from '../../teams';
import {
  QuotaClient,
  QuotaHolder,
  type QuotaGrants,
  type QuotaReport,
  type ShareOutcome,
} from '..';

/** Time between the end of one leadership and the beginning of the next; milliseconds. */
const ELECTION_MILLISECONDS = 700;

/** Time after which an unanswered question is given up; milliseconds. */
const ASK_MILLISECONDS = 900;

/** Longest way of one message; milliseconds. */
const WAY_MILLISECONDS = 5;

const STEP_MILLISECONDS = 1;

/** The clock of a host that may stand still: what falls due meanwhile runs when it goes on. */
class HostClock implements Clock {
  readonly #clock: ManualClock;
  #due: (() => void)[] = [];
  isFrozen = false;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  now(): number {
    return this.#clock.now();
  }

  monotonic(): number {
    return this.#clock.monotonic();
  }

  after(milliseconds: number, action: () => void): CancelTimer {
    let isCancelled = false;
    const cancelTimer = this.#clock.after(milliseconds, () => {
      this.run(() => {
        if (!isCancelled) action();
      });
    });
    return () => {
      isCancelled = true;
      cancelTimer();
    };
  }

  /** Runs something that reaches the host, now or when it goes on. */
  run(action: () => void): void {
    if (this.isFrozen) this.#due.push(action);
    else action();
  }

  thaw(): void {
    this.isFrozen = false;
    for (const action of this.#due.splice(0)) action();
  }
}

interface Gateway {
  readonly clock: HostClock;
  client: QuotaClient;
  run: number;
  isCut: boolean;
}

/** A request as the cluster saw it. */
export interface SeenRequest {
  readonly team: string;
  readonly isStart: boolean;
  readonly askedAt: number;
  endedAt: number;
  outcome: ShareOutcome['kind'] | 'open';
}

/** Gateways that ask for parts of quotas and the process that leads, in simulated time. */
export class QuotaCluster {
  readonly clock = new ManualClock();
  readonly random: SeededRandom;
  readonly requests: SeenRequest[] = [];
  /** Questions that reached a leader. */
  asked = 0;
  readonly #gateways: Gateway[] = [];
  readonly #teams = new Map<string, Team>();
  #directory = new TeamDirectory([]);
  #holder: QuotaHolder | undefined;
  #term = 0;
  #since = 0;

  constructor(seed: number, gateways: number, quotas: Readonly<Record<string, Quota>>) {
    this.random = new SeededRandom(seed);
    for (const [name, quota] of Object.entries(quotas)) this.configure(name, quota);
    for (let index = 0; index < gateways; index += 1) {
      const clock = new HostClock(this.clock);
      const gateway = { clock, run: 0, isCut: false } as Omit<Gateway, 'client'> as Gateway;
      this.#gateways.push(gateway);
      this.restart(index);
    }
    this.#lead();
  }

  configure(name: string, quota: Quota): void {
    this.#teams.set(name, { name, keyDigests: [], priority: 0, quota });
    this.#directory = new TeamDirectory([...this.#teams.values()]);
  }

  get size(): number {
    return this.#gateways.length;
  }

  /** Begins a process anew: it knows nothing of what it held. */
  restart(index: number): void {
    const gateway = this.#gatewayAt(index);
    if (gateway.run > 0) gateway.client.stop();
    gateway.run += 1;
    const run = `${index}/${gateway.run}`;
    const ask = (report: QuotaReport) => this.#ask(gateway, report);
    gateway.client = new QuotaClient({
      run,
      ask,
      clock: gateway.clock,
      logger: createSilentLogger(),
    });
    gateway.client.start();
  }

  setCut(index: number, isCut: boolean): void {
    this.#gatewayAt(index).isCut = isCut;
  }

  freeze(index: number): void {
    this.#gatewayAt(index).clock.isFrozen = true;
  }

  thaw(index: number): void {
    this.#gatewayAt(index).clock.thaw();
  }

  /** Ends the present leadership; another process leads after an election. */
  elect(): void {
    this.#holder = undefined;
    const term = this.#term;
    this.clock.after(ELECTION_MILLISECONDS, () => {
      if (this.#term === term) this.#lead();
    });
  }

  /** Sends a request through a gateway; `onEnd` is told whether it was let through. */
  request(
    index: number,
    team: string,
    isStart = false,
    onEnd: (granted: boolean) => void = () => undefined,
  ): void {
    const { clock, client } = this.#gatewayAt(index);
    clock.run(() => {
      const askedAt = this.clock.monotonic();
      const request: SeenRequest = { team, isStart, askedAt, endedAt: 0, outcome: 'open' };
      this.requests.push(request);
      const known = this.#teams.get(team);
      if (known === undefined) throw new Error(`no team ${team}`);
      void client.admit(known, isStart, Infinity).then(({ kind }) => {
        request.outcome = kind;
        request.endedAt = this.clock.monotonic();
        onEnd(kind === 'granted');
      });
    });
  }

  /** Moves time on, calling `act` each millisecond. */
  async advance(milliseconds: number, act: () => void = () => undefined): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      act();
      this.clock.advance(STEP_MILLISECONDS);
      for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
    }
    await new Promise((resolve) => setImmediate(resolve));
  }

  /** Most requests of a team that were let through in any time of `milliseconds`. */
  mostLetThrough(team: string, milliseconds: number): number {
    const times = this.requests
      .filter((request) => request.team === team && request.outcome === 'granted')
      .map(({ endedAt }) => endedAt)
      .sort((left, right) => left - right);
    let most = 0;
    let first = 0;
    times.forEach((time, index) => {
      while ((times[first] ?? time) <= time - milliseconds) first += 1;
      most = Math.max(most, index - first + 1);
    });
    return most;
  }

  #lead(): void {
    this.#term += 1;
    this.#since = this.clock.monotonic();
    this.#holder = new QuotaHolder({
      teams: () => this.#directory,
      clock: this.clock,
      logger: createSilentLogger(),
    });
  }

  #gatewayAt(index: number): Gateway {
    const gateway = this.#gateways[index];
    if (gateway === undefined) throw new Error(`no gateway ${index}`);
    return gateway;
  }

  /** Asks whoever leads, as long as a gateway does before it gives up; answers may be lost. */
  async #ask(gateway: Gateway, report: QuotaReport): Promise<QuotaGrants> {
    const endsAt = this.clock.monotonic() + ASK_MILLISECONDS;
    while (this.clock.monotonic() < endsAt) {
      await this.#way(gateway);
      const grants = this.#take(gateway, report);
      await this.#way(gateway);
      if (grants !== undefined && this.#isReached(gateway)) return grants;
      await this.#delay(gateway, 60);
    }
    throw new Error('nobody leads');
  }

  #isReached({ isCut }: Gateway): boolean {
    return !isCut;
  }

  #take(gateway: Gateway, report: QuotaReport): QuotaGrants | undefined {
    if (!this.#isReached(gateway) || this.#holder === undefined) return undefined;
    this.asked += 1;
    return this.#holder.take(report, { term: this.#term, since: this.#since });
  }

  #way(gateway: Gateway): Promise<void> {
    return this.#delay(gateway, 1 + this.random.fraction() * (WAY_MILLISECONDS - 1));
  }

  #delay({ clock }: Gateway, milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      clock.after(milliseconds, resolve);
    });
  }
}
