import { type CancelTimer, type Clock, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { type Quota, type Team, TeamDirectory } from '../../teams';
import {
  QuotaClient,
  QuotaAllocator,
  type QuotaGrants,
  type QuotaReport,
  type ShareOutcome,
} from '..';

/** Time between the end of one leadership and the start of the next. */
const ELECTION_MILLISECONDS = 700;

const REQUEST_TIMEOUT_MILLISECONDS = 900;

/** Maximum one-way delay of a message. */
const MESSAGE_DELAY_MILLISECONDS = 5;

const STEP_MILLISECONDS = 1;

/** Clock of a host that can be suspended; timers that expire meanwhile run on resumption. */
class HostClock implements Clock {
  readonly #clock: ManualClock;
  #deferred: (() => void)[] = [];
  isSuspended = false;

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

  /** Runs `action` now, or on resumption if the host is suspended. */
  run(action: () => void): void {
    if (this.isSuspended) this.#deferred.push(action);
    else action();
  }

  resume(): void {
    this.isSuspended = false;
    for (const action of this.#deferred.splice(0)) action();
  }
}

interface SimulatedGateway {
  readonly clock: HostClock;
  client: QuotaClient;
  run: number;
  isPartitioned: boolean;
}

/** A request and its outcome; times are monotonic milliseconds. */
export interface RecordedRequest {
  readonly team: string;
  readonly isStart: boolean;
  readonly arrivedAt: number;
  endedAt: number;
  outcome: ShareOutcome['kind'] | 'open';
}

/** Simulates gateways and the leader that allocates quotas, in virtual time. */
export class QuotaCluster {
  readonly clock = new ManualClock();
  readonly random: SeededRandom;
  readonly requests: RecordedRequest[] = [];
  /** Reports that reached a leader. */
  leaderRequestCount = 0;
  readonly #gateways: SimulatedGateway[] = [];
  readonly #teams = new Map<string, Team>();
  #directory = new TeamDirectory([]);
  #allocator: QuotaAllocator | undefined;
  #term = 0;
  #since = 0;

  constructor(seed: number, gateways: number, quotas: Readonly<Record<string, Quota>>) {
    this.random = new SeededRandom(seed);
    for (const [name, quota] of Object.entries(quotas)) this.configure(name, quota);
    for (let index = 0; index < gateways; index += 1) {
      const clock = new HostClock(this.clock);
      const gateway = { clock, run: 0, isPartitioned: false } as Omit<
        SimulatedGateway,
        'client'
      > as SimulatedGateway;
      this.#gateways.push(gateway);
      this.restart(index);
    }
    this.#startTerm();
  }

  configure(name: string, quota: Quota): void {
    this.#teams.set(name, { name, keyDigests: [], priority: 0, quota });
    this.#directory = new TeamDirectory([...this.#teams.values()]);
  }

  get size(): number {
    return this.#gateways.length;
  }

  /** Restarts a gateway's process, which loses its leases. */
  restart(index: number): void {
    const gateway = this.#gatewayAt(index);
    if (gateway.run > 0) gateway.client.stop();
    gateway.run += 1;
    const run = `${index}/${gateway.run}`;
    const sendReport = (report: QuotaReport) => this.#requestGrants(gateway, report);
    gateway.client = new QuotaClient({
      run,
      sendReport,
      clock: gateway.clock,
      logger: createSilentLogger(),
    });
    gateway.client.start();
  }

  setPartitioned(index: number, isPartitioned: boolean): void {
    this.#gatewayAt(index).isPartitioned = isPartitioned;
  }

  suspend(index: number): void {
    this.#gatewayAt(index).clock.isSuspended = true;
  }

  resume(index: number): void {
    this.#gatewayAt(index).clock.resume();
  }

  /** Ends the current leadership; a new term starts after `ELECTION_MILLISECONDS`. */
  startElection(): void {
    this.#allocator = undefined;
    const term = this.#term;
    this.clock.after(ELECTION_MILLISECONDS, () => {
      if (this.#term === term) this.#startTerm();
    });
  }

  /** Sends a request through a gateway; `onEnd` receives whether it was admitted. */
  request(
    index: number,
    team: string,
    isStart = false,
    onEnd: (granted: boolean) => void = () => undefined,
  ): void {
    const { clock, client } = this.#gatewayAt(index);
    clock.run(() => {
      const arrivedAt = this.clock.monotonic();
      const request: RecordedRequest = { team, isStart, arrivedAt, endedAt: 0, outcome: 'open' };
      this.requests.push(request);
      const configured = this.#teams.get(team);
      if (configured === undefined) throw new Error(`team ${team} is not configured`);
      void client.admit(configured, isStart, Infinity).then(({ kind }) => {
        request.outcome = kind;
        request.endedAt = this.clock.monotonic();
        onEnd(kind === 'granted');
      });
    });
  }

  /** Advances time, calling `act` each millisecond. */
  async advance(milliseconds: number, act: () => void = () => undefined): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      act();
      this.clock.advance(STEP_MILLISECONDS);
      for (let round = 0; round < 4; round += 1) await Promise.resolve();
    }
    await new Promise((resolve) => setImmediate(resolve));
  }

  /** Maximum number of admitted requests of a team in any window of `milliseconds`. */
  maximumAdmitted(team: string, milliseconds: number): number {
    const times = this.requests
      .filter((request) => request.team === team && request.outcome === 'granted')
      .map(({ endedAt }) => endedAt)
      .sort((left, right) => left - right);
    let maximum = 0;
    let first = 0;
    times.forEach((time, index) => {
      while ((times[first] ?? time) <= time - milliseconds) first += 1;
      maximum = Math.max(maximum, index - first + 1);
    });
    return maximum;
  }

  #startTerm(): void {
    this.#term += 1;
    this.#since = this.clock.monotonic();
    this.#allocator = new QuotaAllocator({
      teams: () => this.#directory,
      clock: this.clock,
      logger: createSilentLogger(),
    });
  }

  #gatewayAt(index: number): SimulatedGateway {
    const gateway = this.#gateways[index];
    if (gateway === undefined) throw new Error(`no gateway with index ${index}`);
    return gateway;
  }

  /** Retries until a leader answers or the timeout passes; answers may be lost. */
  async #requestGrants(gateway: SimulatedGateway, report: QuotaReport): Promise<QuotaGrants> {
    const deadline = this.clock.monotonic() + REQUEST_TIMEOUT_MILLISECONDS;
    while (this.clock.monotonic() < deadline) {
      await this.#delayMessage(gateway);
      const grants = this.#answerReport(gateway, report);
      await this.#delayMessage(gateway);
      if (grants !== undefined && this.#isReached(gateway)) return grants;
      await this.#delay(gateway, 60);
    }
    throw new Error('no leader answered before the timeout');
  }

  #isReached({ isPartitioned }: SimulatedGateway): boolean {
    return !isPartitioned;
  }

  #answerReport(gateway: SimulatedGateway, report: QuotaReport): QuotaGrants | undefined {
    if (!this.#isReached(gateway) || this.#allocator === undefined) return undefined;
    this.leaderRequestCount += 1;
    return this.#allocator.allocate(report, { term: this.#term, since: this.#since });
  }

  #delayMessage(gateway: SimulatedGateway): Promise<void> {
    return this.#delay(gateway, 1 + this.random.fraction() * (MESSAGE_DELAY_MILLISECONDS - 1));
  }

  #delay({ clock }: SimulatedGateway, milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      clock.after(milliseconds, resolve);
    });
  }
}
