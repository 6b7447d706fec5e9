import type { Action, ClusterSchedule, FaultAction, HostSelector } from './cluster-schedule';
import {
  ClusterSimulation,
  type ClusterSimulationOptions,
  STEP_MILLISECONDS,
} from './cluster-simulation';
import type { SimulatedHost } from './simulated-host';
import type { CutDirection } from './simulated-network';
import { TOLERATED_LOSSES } from './simulated-process';

export interface ScheduleReport {
  readonly violations: readonly string[];
  readonly acknowledged: number;
  readonly grantedTurns: number;
  readonly lostDisks: number;
  readonly simulation: ClusterSimulation;
}

const FINAL_RESERVATIONS_MILLISECONDS = 1600;

const ACKNOWLEDGEMENT_MILLISECONDS = 4000;

/** Most hosts with a replica in a deployment, apart from replaced ones. */
const MAXIMUM_REPLICA_HOSTS = 7;

/** Longest time for which an action lasts: the roll of all gateways. */
const ALL_BACK_MILLISECONDS = 20_000;

/** Runs the actions in order, then ends all faults and checks what is readable. */
export async function runSchedule(
  { seed, replicas, startsCalm, actions }: ClusterSchedule,
  options: Pick<ClusterSimulationOptions, 'createLogger'> = {},
): Promise<ScheduleReport> {
  const simulation = new ClusterSimulation({ ...options, seed, replicas });
  const run = new ScheduleRun(simulation);
  await simulation.start(startsCalm);
  for (const action of actions) await run.perform(action);
  await run.endFaults();
  await simulation.checkRecovery();
  await run.exhaustBudgets();
  const { violations, operator } = simulation;
  const acknowledged = operator.newestAcknowledged;
  const { grantedTurns } = simulation.budgets;
  return { violations, acknowledged, grantedTurns, lostDisks: run.lostDisks, simulation };
}

/** Performs actions as far as no more disks are lost at a time than the cluster tolerates. */
class ScheduleRun {
  readonly #simulation: ClusterSimulation;
  #hosts = 0;
  #waiting = 0;
  lostDisks = 0;

  constructor(simulation: ClusterSimulation) {
    this.#simulation = simulation;
  }

  async perform(action: Action): Promise<void> {
    const simulation = this.#simulation;
    switch (action.kind) {
      case 'wait':
        await simulation.advance(action.milliseconds);
        return;
      case 'configure':
      case 'read': {
        const process = this.#running(action.through);
        if (process === undefined) return;
        if (action.kind === 'read') simulation.operator.read(process);
        else simulation.operator.propose(process);
        return;
      }
      case 'configure-then':
        await this.#configureThen(action);
        return;
      case 'roll':
        this.#roll(action.intervalMilliseconds, action.drainMilliseconds);
        return;
      case 'transfer-leadership':
        void simulation.leader?.process?.replica?.transferLeadership();
        return;
      case 'add-host':
        this.#addHost();
        return;
      case 'replace-host':
        this.#replaceHost(this.#select(action.host), action);
        return;
      case 'reserve':
        this.#reserve(action.program, action.through);
        return;
      case 'reserve-then':
        await this.#reserveThen(action);
        return;
      default:
        this.#inject(action);
    }
  }

  /** Waits until every fault has ended and every host runs again. */
  async endFaults(): Promise<void> {
    const simulation = this.#simulation;
    for (let waited = 0; this.#waiting > 0 && waited < ALL_BACK_MILLISECONDS; waited += 100) {
      await simulation.advance(100);
    }
    for (const host of simulation.hosts) {
      host.slowDisk = false;
      simulation.startProcess(host);
    }
  }

  /** Reserves until every program that was granted tokens is refused more. */
  async exhaustBudgets(): Promise<void> {
    for (const program of this.#simulation.budgets.programs) {
      this.#reserve(Number(program.slice(1)), [0, 1, 2, 3]);
    }
    await this.#simulation.advance(FINAL_RESERVATIONS_MILLISECONDS);
  }

  async #configureThen(action: Extract<Action, { kind: 'configure-then' }>): Promise<void> {
    const { operator, leader } = this.#simulation;
    const process = this.#running(action.through);
    if (process === undefined) return;
    const heal = this.#separate(this.#selectAll(action.laggards), 'in');
    if (leader !== undefined) leader.slowDisk = action.isLeaderSlow;
    let isInjected = false;
    operator.onNextAcknowledgement = () => {
      isInjected = true;
      this.#inject(action.fault);
    };
    operator.propose(process);
    await this.#advanceUntil(() => isInjected);
    operator.onNextAcknowledgement = undefined;
    if (leader !== undefined) leader.slowDisk = false;
    heal();
  }

  async #advanceUntil(isDone: () => boolean): Promise<void> {
    const deadline = this.#simulation.clock.monotonic() + ACKNOWLEDGEMENT_MILLISECONDS;
    while (!isDone() && this.#simulation.clock.monotonic() < deadline) {
      await this.#simulation.advance(STEP_MILLISECONDS);
    }
  }

  #inject(fault: FaultAction): void {
    const simulation = this.#simulation;
    switch (fault.kind) {
      case 'kill':
      case 'lose-power': {
        const hosts = fault.hosts === 'all' ? simulation.hosts : this.#selectAll(fault.hosts);
        for (const host of hosts) this.#takeDown(host, fault.kind, fault.downMilliseconds);
        return;
      }
      case 'lose-disks':
        this.#loseDisks(this.#selectAll(fault.hosts), fault);
        return;
      case 'lose-stores':
        this.#loseDisks(this.#selectStores(fault.stores), fault);
        return;
      case 'cut':
        this.#cut([this.#select(fault.host)], fault.direction, fault.milliseconds);
        return;
      case 'split':
        this.#split(fault.hosts, fault.milliseconds);
        return;
      case 'suspend':
        simulation.suspend(this.#select(fault.host), fault.milliseconds);
        this.#later(fault.milliseconds, () => undefined);
        return;
      case 'slow-disk': {
        const host = this.#select(fault.host);
        host.slowDisk = true;
        this.#later(fault.milliseconds, () => {
          host.slowDisk = false;
        });
        return;
      }
      case 'lose-messages':
        simulation.network.lossFraction = fault.fraction;
        this.#later(fault.milliseconds, () => {
          simulation.network.lossFraction = 0;
        });
    }
  }

  #takeDown(host: SimulatedHost, kind: 'kill' | 'lose-power', downMilliseconds: number): void {
    if (kind === 'kill') this.#simulation.kill(host);
    else this.#simulation.losePower(host);
    this.#startLater(host, downMilliseconds);
  }

  #loseDisks(
    hosts: readonly SimulatedHost[],
    fault: Extract<FaultAction, { kind: 'lose-disks' | 'lose-stores' }>,
  ): void {
    const simulation = this.#simulation;
    const lost = hosts.filter((host) => this.#loseDisk(host, fault.downMilliseconds));
    const { others } = fault;
    if (others === 'run') return;
    for (const host of simulation.hosts) {
      if (!lost.includes(host)) this.#takeDown(host, others, fault.downMilliseconds);
    }
  }

  #loseDisk(host: SimulatedHost, downMilliseconds: number): boolean {
    if (!this.#simulation.mayLose(host)) return false;
    this.lostDisks += 1;
    this.#simulation.loseDisk(host);
    this.#startLater(host, downMilliseconds);
    return true;
  }

  #cut(
    hosts: readonly SimulatedHost[],
    direction: CutDirection,
    milliseconds: number,
    others?: readonly SimulatedHost[],
  ): void {
    this.#later(milliseconds, this.#separate(hosts, direction, others));
  }

  /** Blocks the links between the two groups; returns the action that ends the cut. */
  #separate(
    hosts: readonly SimulatedHost[],
    direction: CutDirection,
    others: readonly SimulatedHost[] = this.#simulation.hosts,
  ): () => void {
    const heal = this.#simulation.network.separate(
      hosts.map(({ name }) => name),
      others.filter((other) => !hosts.includes(other)).map(({ name }) => name),
      direction,
    );
    for (const host of hosts) host.cuts += 1;
    return () => {
      heal();
      for (const host of hosts) host.cuts -= 1;
    };
  }

  #split(selectors: readonly HostSelector[], milliseconds: number): void {
    this.#cut(this.#selectAll(selectors), 'both', milliseconds, this.#simulation.replicaHosts);
  }

  #roll(intervalMilliseconds: number, drainMilliseconds: number): void {
    const gateways = this.#simulation.hosts.filter(
      ({ kind, isRemoved }) => kind === 'gateway' && !isRemoved,
    );
    gateways.forEach((host, index) => {
      this.#later(index * intervalMilliseconds, () => {
        this.#simulation.restartProcess(host, drainMilliseconds);
      });
    });
  }

  #addHost(): void {
    const simulation = this.#simulation;
    if (simulation.replicaHosts.length >= MAXIMUM_REPLICA_HOSTS) return;
    if (simulation.lostDisks >= TOLERATED_LOSSES) return;
    this.#hosts += 1;
    const host = simulation.addNewHost(`n${this.#hosts}`);
    simulation.startProcess(host);
  }

  #replaceHost(host: SimulatedHost, action: Extract<Action, { kind: 'replace-host' }>): void {
    const simulation = this.#simulation;
    const { keepsDisk, keepsName, milliseconds } = action;
    if (!this.#simulation.mayLose(host)) return;
    this.#hosts += 1;
    const name = keepsName ? host.name : `r${this.#hosts}`;
    const successor = simulation.replaceHost(host, name, keepsDisk);
    this.#startLater(successor, milliseconds);
  }

  #reserve(program: number, through: readonly number[]): void {
    for (const index of through) {
      const process = this.#running(index);
      if (process !== undefined) this.#simulation.budgets.reserve(process, `p${program}`);
    }
  }

  async #reserveThen(action: Extract<Action, { kind: 'reserve-then' }>): Promise<void> {
    const { budgets } = this.#simulation;
    const heal = this.#separate(this.#selectStores(action.laggards), 'in');
    let isInjected = false;
    budgets.onNextGrant = () => {
      isInjected = true;
      this.#inject(action.fault);
    };
    this.#reserve(action.program, action.through);
    await this.#advanceUntil(() => isInjected);
    budgets.onNextGrant = undefined;
    heal();
  }

  #selectStores(selectors: readonly number[]): readonly SimulatedHost[] {
    const stores = uncutFirst(this.#simulation.stores);
    return stores.filter((_, index) => selectors.includes(index));
  }

  #select(selector: HostSelector): SimulatedHost {
    const { leader, replicaHosts } = this.#simulation;
    const others = uncutFirst(replicaHosts.filter((host) => host !== leader));
    const ordered = leader === undefined ? others : [leader, ...others];
    const host = ordered[selector % ordered.length];
    if (host === undefined) throw new Error('the deployment has no host with a replica');
    return host;
  }

  #selectAll(selectors: readonly HostSelector[]): readonly SimulatedHost[] {
    return [...new Set(selectors.map((selector) => this.#select(selector)))];
  }

  /** A running process of a gateway, with or without a replica. */
  #running(index: number) {
    const running = this.#simulation.hosts.flatMap(({ kind, process }) =>
      kind === 'gateway' && process?.isSuspended === false ? [process] : [],
    );
    return running[index % Math.max(1, running.length)];
  }

  /** Starts a host after up to twice the given time, so that hosts return in any order. */
  #startLater(host: SimulatedHost, milliseconds: number): void {
    this.#later(2 * milliseconds * this.#simulation.random.fraction(), () => {
      this.#simulation.startProcess(host);
    });
  }

  #later(milliseconds: number, action: () => void): void {
    this.#waiting += 1;
    this.#simulation.clock.after(milliseconds, () => {
      this.#waiting -= 1;
      action();
    });
  }
}

function uncutFirst(hosts: readonly SimulatedHost[]): readonly SimulatedHost[] {
  return [...hosts.filter(({ cuts }) => cuts === 0), ...hosts.filter(({ cuts }) => cuts > 0)];
}
