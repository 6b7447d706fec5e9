import { type Logger, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { MemoryDisk } from '../../storage/tests/memory-disk';
import type { NodeKind } from '..';
import { BudgetLedger } from './budget-ledger';
import { OperatorLog } from './operator-log';
import {
  CATCH_UP_MILLISECONDS,
  type SimulatedHost,
  createDisk,
  isInTouch,
  newLossesOf,
  trackCatchUp,
} from './simulated-host';
import { SimulatedNetwork } from './simulated-network';
import { SimulatedProcess, TOLERATED_LOSSES } from './simulated-process';

export const STEP_MILLISECONDS = 20;

const STORES = 6;
const SEEDS = 3;

/** Largest delay between the first starts of the hosts. */
const FIRST_START_SPREAD_MILLISECONDS = 300;

const FIRST_CONFIGURATION_MILLISECONDS = 30_000;

/** Time in which the newest configuration is readable after all faults have ended. */
const RECOVERY_MILLISECONDS = 15_000;

const RESTART_MILLISECONDS = 300;

/** Time after its acknowledgement in which a configuration is in force at every host in touch. */
const IN_FORCE_MILLISECONDS = 2000;

/** Time without disturbance after which a host is in touch. */
const CONTACT_MILLISECONDS = 4000;

const SLOW_DISK_FRACTION = 0.1;

export interface ClusterSimulationOptions {
  readonly seed: number;
  /** Number of hosts with a replica at the first start. */
  readonly replicas: number;
  readonly createLogger?: (host: string, now: () => number) => Logger;
  /** Bandwidth of each host's outgoing link; unlimited by default. */
  readonly bytesPerMillisecond?: number;
  /** Interval at which the configuration is read through a random gateway. */
  readonly readIntervalMilliseconds?: number;
}

/**
 * The processes of a cluster in one process: replicas of the cluster state on disks that lose what
 * was not synced, stores and a gateway without a disk, on a network with delays, losses and cuts.
 */
export class ClusterSimulation {
  readonly clock = new ManualClock();
  readonly random: SeededRandom;
  readonly network: SimulatedNetwork;
  readonly operator: OperatorLog;
  readonly budgets: BudgetLedger;
  readonly hosts: SimulatedHost[] = [];
  readonly violations: string[] = [];
  readonly #replicas: number;
  readonly #readIntervalMilliseconds: number;
  readonly #createLogger: (host: string, now: () => number) => Logger;
  readonly #views = new Map<number, string>();
  #addresses = 0;
  #nextReadAt = 0;
  #calmMilliseconds = 0;

  constructor(options: ClusterSimulationOptions) {
    const { seed, replicas, createLogger = createSilentLogger, bytesPerMillisecond } = options;
    this.#readIntervalMilliseconds = options.readIntervalMilliseconds ?? 200;
    this.random = new SeededRandom(seed);
    this.network = new SimulatedNetwork(this.clock, this.random, bytesPerMillisecond);
    const onViolation = (violation: string) => {
      this.violations.push(violation);
    };
    this.operator = new OperatorLog(this.clock, onViolation);
    this.budgets = new BudgetLedger(this.clock, this.random, onViolation);
    this.#replicas = replicas;
    this.#createLogger = createLogger;
  }

  /** Starts all hosts for the first time and sends configurations until one is acknowledged. */
  async start(waitsForCatchUp: boolean): Promise<void> {
    for (let index = 1; index <= this.#replicas; index += 1) this.addHost(`d${index}`, 'gateway');
    for (let index = 1; index <= STORES; index += 1) this.addHost(`s${index}`, 'store');
    this.addHost('e1', 'gateway', false);
    for (const host of this.hosts) {
      const delay = this.random.fraction() * FIRST_START_SPREAD_MILLISECONDS;
      this.clock.after(delay, () => {
        this.startProcess(host, true);
      });
    }
    const deadline = this.clock.monotonic() + FIRST_CONFIGURATION_MILLISECONDS;
    while (this.operator.newestAcknowledged === 0 && this.clock.monotonic() < deadline) {
      const [host] = this.hosts;
      if (host?.process !== undefined) this.operator.propose(host.process);
      await this.advance(STEP_MILLISECONDS);
    }
    if (this.operator.newestAcknowledged === 0) {
      this.violations.push('no configuration was acknowledged after the first start');
    }
    if (waitsForCatchUp) await this.advance(CATCH_UP_MILLISECONDS);
  }

  addHost(name: string, kind: NodeKind, hasDisk = true): SimulatedHost {
    return this.#addHostWithDisk(name, kind, hasDisk ? createDisk() : undefined);
  }

  /** Adds a host during the run, which counts as lost until it has caught up. */
  addNewHost(name: string): SimulatedHost {
    const host = this.addHost(name, 'gateway');
    host.lostDisks = 1;
    host.lostMilliseconds = CATCH_UP_MILLISECONDS;
    return host;
  }

  #addHostWithDisk(name: string, kind: NodeKind, disk: MemoryDisk | undefined): SimulatedHost {
    const host: SimulatedHost = {
      ...{ name, kind, disk, address: this.#createAddress() },
      process: undefined,
      ...{
        isStopping: false,
        isRestarting: false,
        disturbedMilliseconds: 0,
        isSuccessor: false,
        lostDisks: 0,
        isRemoved: false,
        slowDisk: false,
        cuts: 0,
        lostMilliseconds: 0,
      },
    };
    this.hosts.push(host);
    return host;
  }

  #createAddress(): string {
    this.#addresses += 1;
    return `10.0.0.${this.#addresses}:7380`;
  }

  get stores(): readonly SimulatedHost[] {
    return this.hosts.filter(({ kind }) => kind === 'store');
  }

  /** Hosts with a replica that are part of the deployment. */
  get replicaHosts(): readonly SimulatedHost[] {
    return this.hosts.filter(
      ({ kind, disk, isRemoved }) => kind === 'gateway' && disk !== undefined && !isRemoved,
    );
  }

  get leader(): SimulatedHost | undefined {
    return this.replicaHosts.find(
      ({ process }) => process?.isSuspended === false && process.replica?.serves === true,
    );
  }

  /** Number of disks that were lost and whose hosts have not had the time to catch up. */
  get lostDisks(): number {
    return this.hosts.reduce((sum, host) => sum + host.lostDisks, 0);
  }

  startProcess(host: SimulatedHost, isFirstStart = false): void {
    if (host.process !== undefined || host.isRemoved) return;
    this.#calmMilliseconds = 0;
    const { name, kind, address, disk } = host;
    const process = new SimulatedProcess({
      node: { name, kind, address, availabilityZone: name },
      seeds: this.replicaHosts.slice(0, SEEDS).map((seed) => seed.address),
      logger: this.#createLogger(name, () => this.clock.monotonic()),
      ...{ disk, isFirstStart, network: this.network, random: this.random },
    });
    if (disk !== undefined) disk.paused = true;
    host.process = process;
    host.isRestarting = false;
    process.start().catch((error: unknown) => {
      if (host.process === process) this.violations.push(`${name} cannot start: ${String(error)}`);
    });
  }

  /** Ends a process without warning; what it has written stays, synced or not. */
  kill(host: SimulatedHost): void {
    this.#endProcess(host);
    host.disk?.unmount();
  }

  losePower(host: SimulatedHost): void {
    this.#endProcess(host);
    host.disk?.losePower(this.random);
  }

  loseDisk(host: SimulatedHost): void {
    this.#endProcess(host);
    host.disk?.wipe();
    host.lostDisks += newLossesOf(host);
    host.isSuccessor = false;
    host.lostMilliseconds = CATCH_UP_MILLISECONDS;
  }

  /** Ends a host for good; the disk that its successor starts with counts as lost. */
  replaceHost(host: SimulatedHost, name: string, keepsDisk: boolean): SimulatedHost {
    this.losePower(host);
    const disk = keepsDisk ? host.disk : createDisk();
    const successor = this.#addHostWithDisk(name, host.kind, disk);
    successor.lostDisks = host.lostDisks + newLossesOf(host);
    successor.isSuccessor = true;
    successor.lostMilliseconds = CATCH_UP_MILLISECONDS;
    Object.assign(host, { isRemoved: true, lostDisks: 0, lostMilliseconds: 0 });
    return successor;
  }

  /** Whether another lost disk, the one of this host, is tolerated. */
  mayLose(host: SimulatedHost): boolean {
    return this.lostDisks + newLossesOf(host) <= TOLERATED_LOSSES;
  }

  /** Transfers leadership, then stops the process; it starts again after it has stopped. */
  restartProcess(host: SimulatedHost, drainMilliseconds: number): void {
    const { process } = host;
    if (process === undefined || host.isStopping) return;
    host.isStopping = true;
    host.isRestarting = true;
    void process.replica?.transferLeadership();
    this.clock.after(drainMilliseconds, () => {
      if (host.process !== process) return;
      void process.stop().then(() => {
        this.#finishStop(host, process);
      });
    });
  }

  #finishStop(host: SimulatedHost, process: SimulatedProcess): void {
    if (host.process !== process) return;
    this.kill(host);
    host.isRestarting = true;
    this.clock.after(RESTART_MILLISECONDS, () => {
      this.startProcess(host);
    });
  }

  #endProcess(host: SimulatedHost): void {
    const { process } = host;
    host.isStopping = false;
    host.isRestarting = false;
    host.process = undefined;
    if (process === undefined) return;
    process.isRunning = false;
    this.network.close(host.address, process);
  }

  suspend(host: SimulatedHost, milliseconds: number): void {
    const { process } = host;
    if (process === undefined || process.isSuspended) return;
    process.isSuspended = true;
    this.clock.after(milliseconds, () => {
      process.isSuspended = false;
      if (process.isRunning) process.clock.jump(milliseconds);
    });
  }

  async advance(milliseconds: number): Promise<void> {
    const end = this.clock.monotonic() + milliseconds;
    while (this.clock.monotonic() < end) await this.#step();
  }

  async #step(): Promise<void> {
    this.clock.advance(STEP_MILLISECONDS);
    for (const { process, disk, slowDisk } of this.hosts) {
      if (process === undefined || process.isSuspended) continue;
      if (!slowDisk || this.random.fraction() < SLOW_DISK_FRACTION) disk?.releaseOperations();
      process.clock.advance(STEP_MILLISECONDS);
    }
    this.network.deliverDue();
    await flushEventLoop();
    this.#readIfDue();
    this.#checkInvariants();
    trackCatchUp(this.hosts, this.network.lossFraction === 0, STEP_MILLISECONDS);
    this.#trackCalm();
  }

  /** Reads through a random gateway at a fixed interval. */
  #readIfDue(): void {
    if (this.clock.monotonic() < this.#nextReadAt) return;
    this.#nextReadAt = this.clock.monotonic() + this.#readIntervalMilliseconds;
    const gateways = this.hosts.filter(({ kind }) => kind === 'gateway');
    const host = gateways[Math.floor(this.random.fraction() * gateways.length)];
    if (host?.process?.isSuspended === false) this.operator.read(host.process);
  }

  #checkInvariants(): void {
    const running = this.hosts.flatMap(({ process }) =>
      process === undefined || process.isSuspended ? [] : [process],
    );
    const leaders = running.filter(({ replica }) => replica?.serves === true);
    if (leaders.length > 1) {
      const names = leaders.map(({ host }) => host).join();
      this.violations.push(`more than one process serves as the leader: ${names}`);
    }
    for (const { host, view, configuration } of running) {
      this.#checkInForce(host, configuration.version);
      if (configuration.value !== undefined) this.operator.check(host, configuration.value);
      if (view.value !== undefined) this.#checkView(host, view.version, JSON.stringify(view.value));
    }
  }

  /** Counts the time for which no host with a replica, and no link, has been disturbed. */
  #trackCalm(): void {
    const isCalm =
      this.network.lossFraction === 0 &&
      this.hosts.every((host) => host.isRemoved || (isInTouch(host) && !host.isRestarting));
    this.#calmMilliseconds = isCalm ? this.#calmMilliseconds + STEP_MILLISECONDS : 0;
  }

  #checkInForce(host: string, version: number): void {
    if (this.#calmMilliseconds < CONTACT_MILLISECONDS) return;
    const acknowledged = this.operator.acknowledgedFor(IN_FORCE_MILLISECONDS);
    if (version >= acknowledged) return;
    const now = this.clock.monotonic();
    this.violations.push(`${now} ms: ${host} has ${version} long after ${acknowledged}`);
  }

  #checkView(host: string, epoch: number, text: string): void {
    const known = this.#views.get(epoch);
    if (known === undefined) this.#views.set(epoch, text);
    else if (known !== text) this.violations.push(`${host} has another view of epoch ${epoch}`);
  }

  /** Waits until the newest acknowledged configuration is readable everywhere it should be. */
  async checkRecovery(): Promise<void> {
    const deadline = this.clock.monotonic() + RECOVERY_MILLISECONDS;
    const expected = this.operator.newestAcknowledged;
    const epoch = Math.max(0, ...this.#views.keys());
    const isRecovered = () => {
      const stateMachine = this.leader?.process?.replica?.stateMachine;
      return (stateMachine?.view?.epoch ?? 0) >= epoch && this.operator.newestRead >= expected;
    };
    this.operator.forgetReads();
    while (!isRecovered() && this.clock.monotonic() < deadline) {
      for (const { process } of this.replicaHosts) if (process) this.operator.read(process);
      await this.advance(500);
    }
    if (isRecovered()) return;
    const { stateMachine } = this.leader?.process?.replica ?? {};
    this.violations.push(
      `configuration ${expected} and view ${epoch} were not readable after all faults ended: ` +
        `leader ${this.leader?.name ?? 'none'}, configuration ${stateMachine?.configuration?.version ?? 0}, ` +
        `view ${stateMachine?.view?.epoch ?? 0}`,
    );
  }
}

function flushEventLoop(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
