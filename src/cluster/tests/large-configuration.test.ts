import { SeededRandom } from '../../core';
import { ClusterSimulation, STEP_MILLISECONDS } from './cluster-simulation';
import type { SimulatedHost } from './simulated-host';

const REPLICAS = 6;
const GATEWAYS_WITHOUT_DISK = 20;

/** 100 Mbit/s. */
const LINK_BYTES_PER_MILLISECOND = 12_500;

const ROUTES = 2800;

/** Time in which the operator's client expects an answer before it calls another gateway. */
const OPERATOR_TIMEOUT_MILLISECONDS = 1000;

/** Time in which a change is acknowledged. */
const ACKNOWLEDGEMENT_MILLISECONDS = 4000;

/** A configuration of many routes with random names. */
function createText(version: number): string {
  const random = new SeededRandom(version);
  const routes = Array.from({ length: ROUTES }, (_, index) => ({
    name: `r-${random.hex(4)}`,
    hostname: `${random.hex(3)}.example`,
    pathPrefix: `/${random.hex(4)}/`,
    kind: index % 2 === 0 ? 'idempotent' : 'non_idempotent',
    timeoutMs: 4000,
    targetLatencyMs: 200,
    priority: 1,
    trafficSplit: [{ service: 'registry-desk', weight: 90 + (version % 10) }],
    maxAttempts: 2,
    retains: false,
    sticky: true,
    resumable: false,
  }));
  return JSON.stringify({ version, routes });
}

/** Infinite times if the change was not acknowledged. */
interface Rollout {
  readonly acknowledgedAfter: number;
  /** Time from the acknowledgement until the last gateway has the version. */
  readonly lastAfter: number;
}

const NOT_ACKNOWLEDGED: Rollout = { acknowledgedAfter: Infinity, lastAfter: Infinity };

class RolloutRun {
  readonly simulation = new ClusterSimulation({
    ...{ seed: 11, replicas: REPLICAS, bytesPerMillisecond: LINK_BYTES_PER_MILLISECOND },
    // Each read takes the whole configuration through the leader's link.
    readIntervalMilliseconds: 5000,
  });
  leaderChanges = 0;
  #leader: string | undefined;

  async start(): Promise<void> {
    await this.simulation.start(true);
    for (let index = 2; index <= GATEWAYS_WITHOUT_DISK; index += 1) {
      this.simulation.startProcess(this.simulation.addHost(`e${index}`, 'gateway', false));
    }
    await this.simulation.advance(2000);
  }

  /** Sends a configuration as an operator does: again, through another gateway, until it is acknowledged. */
  async replace(version: number): Promise<Rollout> {
    const text = createText(version);
    this.simulation.operator.recordSent(version, text);
    const startedAt = this.#now;
    let acknowledgedAt = Infinity;
    for (let attempt = 0; acknowledgedAt === Infinity && attempt < 20; attempt += 1) {
      const { process } = this.#gateways[attempt % this.#gateways.length] ?? {};
      const call = { isOver: false };
      void process?.client.configure(version, text).then(
        () => {
          acknowledgedAt = Math.min(acknowledgedAt, this.#now);
        },
        () => {
          call.isOver = true;
        },
      );
      const waitUntil = this.#now + OPERATOR_TIMEOUT_MILLISECONDS;
      while (!call.isOver && this.#now < Math.min(waitUntil, acknowledgedAt)) await this.#step();
    }
    if (acknowledgedAt === Infinity) return NOT_ACKNOWLEDGED;
    while (this.#gateways.some((gateway) => versionAt(gateway) < version)) await this.#step();
    const lastAfter = this.#now - acknowledgedAt;
    return { acknowledgedAfter: acknowledgedAt - startedAt, lastAfter };
  }

  get #now(): number {
    return this.simulation.clock.monotonic();
  }

  get #gateways(): readonly SimulatedHost[] {
    return this.simulation.hosts.filter(({ kind }) => kind === 'gateway');
  }

  async #step(): Promise<void> {
    await this.simulation.advance(STEP_MILLISECONDS);
    const { leader } = this.simulation;
    if (leader === undefined) return;
    if (this.#leader !== undefined && this.#leader !== leader.name) this.leaderChanges += 1;
    this.#leader = leader.name;
  }

  /** Bytes that the gateways send in `milliseconds`. */
  async sentBytesIn(milliseconds: number): Promise<number> {
    const total = () =>
      this.#gateways.reduce((sum, { name }) => sum + this.simulation.network.sentBytesOf(name), 0);
    const before = total();
    await this.simulation.advance(milliseconds);
    return total() - before;
  }
}

function versionAt({ process }: SimulatedHost): number {
  return process?.configuration.version ?? 0;
}

// Guards against a large configuration that fills the links of the replicas: the leader is unseated by
// its own broadcast, and gateways serve by an old version long after the acknowledgement of a newer one.
describe('a large configuration, on links of limited bandwidth', () => {
  let run: RolloutRun;
  let rollouts: readonly Rollout[];

  beforeAll(async () => {
    run = new RolloutRun();
    await run.start();
    rollouts = [await run.replace(101), await run.replace(102), await run.replace(103)];
  });

  it('is acknowledged in time', () => {
    for (const { acknowledgedAfter } of rollouts) {
      expect(acknowledgedAfter).toBeLessThan(ACKNOWLEDGEMENT_MILLISECONDS);
    }
  });

  it('is in force at every gateway once it is acknowledged', () => {
    expect(rollouts.map(({ lastAfter }) => lastAfter)).toEqual([0, 0, 0]);
  });

  it('is the same everywhere', () => {
    expect(run.simulation.violations).toEqual([]);
  });

  it('leaves the leader in place', () => {
    expect(run.leaderChanges).toBe(0);
  });

  it('causes no traffic once it is in force everywhere', async () => {
    await run.sentBytesIn(2000);
    expect(await run.sentBytesIn(2000)).toBeLessThan(createText(104).length);
  });
});
