import { SeededRandom } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/memory-disk';
import { type Envelope, ReplicatedLog, destinationHostOf, hostNameOf } from '..';
import { ListMachine } from './list-machine';
import { UnreliableNetwork } from './unreliable-network';

interface Host {
  readonly name: string;
  readonly disk: MemoryDisk;
  clock: ManualClock;
  machine: ListMachine;
  log: ReplicatedLog<number>;
  isRunning: boolean;
  isSuspended: boolean;
  suspendedMilliseconds: number;
}

export interface SimulationReport {
  readonly violations: readonly string[];
  readonly acknowledged: number;
  readonly leaders: number;
  readonly snapshots: number;
  readonly wipes: number;
}

const TICK_MILLISECONDS = 15;
const HEARTBEAT_MILLISECONDS = 100;
const SETTLE_ROUNDS = 600;

/**
 * Replicated logs with in-memory network and disks. A seeded schedule delays, duplicates, reorders
 * and drops messages, blocks links in one or both directions, delays disk operations, suspends
 * hosts, makes them lose power or disks, and changes the host list.
 */
export class ReplicatedLogSimulation {
  readonly #random: SeededRandom;
  readonly #hosts: Host[] = [];
  readonly #blockedLinks = new Set<string>();
  #listedHosts: readonly string[];
  readonly #network: UnreliableNetwork<Envelope>;
  #proposals = 0;
  #wipes = 0;
  #snapshots = 0;
  readonly #acknowledged = new Set<string>();
  readonly #committed = new Map<number, string>();
  readonly #leaderOfTerm = new Map<number, string>();
  readonly #violations: string[] = [];

  private constructor(seed: number, size: number) {
    this.#random = new SeededRandom(seed);
    this.#network = new UnreliableNetwork(this.#random);
    this.#listedHosts = Array.from({ length: size }, (_, index) => `m${index}`);
  }

  /** Runs random steps, then ends all faults and checks that the members converge. */
  static async run(seed: number, size: number, steps: number): Promise<SimulationReport> {
    const cluster = new ReplicatedLogSimulation(seed, size);
    for (const name of cluster.#listedHosts) await cluster.#add(name);
    await cluster.#settle();
    for (let step = 0; step < steps; step += 1) {
      await cluster.#randomStep();
      await runPendingTasks();
      cluster.#checkInvariants();
    }
    await cluster.#settle();
    cluster.#checkFinalState();
    return cluster.#report();
  }

  #report(): SimulationReport {
    return {
      violations: this.#violations,
      acknowledged: this.#acknowledged.size,
      leaders: this.#leaderOfTerm.size,
      snapshots: this.#snapshots,
      wipes: this.#wipes,
    };
  }

  async #add(name: string): Promise<void> {
    const host = {
      name,
      disk: new MemoryDisk(),
      isSuspended: false,
      isRunning: false,
      suspendedMilliseconds: 0,
    };
    const created = this.#build(name, host.disk);
    const added: Host = { ...host, ...created };
    this.#hosts.push(added);
    await this.#start(added);
  }

  #build(name: string, disk: MemoryDisk): Pick<Host, 'clock' | 'machine' | 'log'> {
    const clock = new ManualClock();
    clock.advance(this.#random.fraction() * 10_000);
    const machine = new ListMachine((index, command) => {
      this.#recordCommitted(index, command);
    });
    const log = new ReplicatedLog<number>({
      self: name,
      hosts: () => this.#listedHosts,
      store: new SegmentedStore({ folder: '/log', fileSystem: disk.mount(), segmentBytes: 2000 }),
      transport: {
        send: (envelope) => {
          this.#network.send(envelope);
        },
      },
      machine,
      clock,
      random: this.#random,
      heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
      electionMilliseconds: 500,
      snapshotEntries: 12,
    });
    return { clock, machine, log };
  }

  async #start(host: Host): Promise<void> {
    host.disk.paused = false;
    await host.log.start();
    host.disk.paused = true;
    host.isRunning = true;
  }

  async #restart(host: Host): Promise<void> {
    Object.assign(host, this.#build(host.name, host.disk));
    await this.#start(host);
  }

  /** Checks that an index never holds two different committed commands. */
  #recordCommitted(index: number, command: string): void {
    const known = this.#committed.get(index);
    if (known === undefined) this.#committed.set(index, command);
    else if (known !== command) this.#violations.push(`index ${index} has two committed entries`);
  }

  async #randomStep(): Promise<void> {
    const choice = this.#random.fraction();
    const host = this.#pick(this.#hosts);
    if (choice < 0.42) this.#deliverSome();
    else if (choice < 0.6) this.#tick();
    else if (choice < 0.8) for (const other of this.#hosts) this.#completeDiskOperations(other);
    else if (choice < 0.94) this.#propose(host);
    else if (choice < 0.945) this.#blockLink();
    else if (choice < 0.947) host.isSuspended = host.isRunning;
    else if (choice < 0.951) this.#crash(host);
    else if (choice < 0.952) for (const other of this.#hosts) this.#crash(other);
    else if (choice < 0.957) this.#wipe(host);
    else if (choice < 0.975) await this.#recover(this.#failedHost ?? host);
    else if (choice < 0.978) await this.#changeListedHosts();
    else this.#network.drop();
  }

  #tick(): void {
    const milliseconds = TICK_MILLISECONDS * (1 + Math.floor(this.#random.fraction() * 5));
    for (const host of this.#hosts) this.#advanceClock(host, milliseconds);
  }

  #advanceClock(host: Host, milliseconds: number): void {
    if (host.isSuspended) host.suspendedMilliseconds += milliseconds;
    else if (host.isRunning) host.clock.advance(milliseconds);
  }

  #completeDiskOperations(host: Host): void {
    if (!host.isSuspended)
      host.disk.releaseOperations(1 + Math.floor(this.#random.fraction() * 10));
  }

  #deliverSome(): void {
    const count = 1 + Math.floor(this.#random.fraction() * 16);
    for (let index = 0; index < count; index += 1) this.#deliverOne();
  }

  #deliverOne(): void {
    const envelope = this.#network.take();
    if (envelope !== undefined) this.#deliver(envelope);
  }

  #deliver(envelope: Envelope): void {
    const to = destinationHostOf(envelope);
    if (this.#blockedLinks.has(`${hostNameOf(envelope.message.from)}>${to}`)) return;
    const host = this.#hosts.find((entry) => entry.name === to);
    if (host?.isRunning === true && !host.isSuspended) host.log.receive([envelope]);
  }

  #propose(host: Host): void {
    if (!host.isRunning || host.isSuspended) return;
    this.#proposals += 1;
    const command = `command ${this.#proposals}`;
    host.log.propose(command).then(
      () => this.#acknowledged.add(command),
      () => undefined,
    );
  }

  #crash(host: Host): void {
    if (!host.isRunning) return;
    host.isRunning = false;
    host.isSuspended = false;
    host.disk.losePower(this.#random);
  }

  /** Replaces a disk by an empty one, unless a host that lost its disk is not a voter again yet. */
  #wipe(host: Host): void {
    if (!this.#allAreVoters()) return;
    this.#crash(host);
    host.disk.wipe();
    this.#wipes += 1;
  }

  #allAreVoters(): boolean {
    const leader = this.#hosts.find(
      (host) => host.isRunning && !host.isSuspended && host.log.serves,
    );
    const voters = leader?.log.membership.voters ?? [];
    const identities = this.#hosts.map((host) => host.log.identity);
    const toleratesLoss = this.#listedHosts.length >= 3;
    return (
      toleratesLoss &&
      this.#hosts.every((host) => host.isRunning) &&
      identities.every((identity) => voters.includes(identity))
    );
  }

  get #failedHost(): Host | undefined {
    return this.#hosts.find((host) => host.isSuspended || !host.isRunning);
  }

  async #recover(host: Host): Promise<void> {
    this.#blockedLinks.clear();
    if (host.isSuspended) {
      host.isSuspended = false;
      host.clock.jump(host.suspendedMilliseconds);
      host.suspendedMilliseconds = 0;
    }
    if (!host.isRunning) await this.#restart(host);
  }

  #blockLink(): void {
    this.#blockedLinks.add(`${this.#pick(this.#listedHosts)}>${this.#pick(this.#listedHosts)}`);
  }

  /** Adds one extra host to the list, or removes it from the list. */
  async #changeListedHosts(): Promise<void> {
    const extra = 'm9';
    if (this.#listedHosts.includes(extra)) {
      this.#listedHosts = this.#listedHosts.filter((name) => name !== extra);
      return;
    }
    this.#listedHosts = [...this.#listedHosts, extra];
    if (!this.#hosts.some((host) => host.name === extra)) await this.#add(extra);
  }

  async #settle(): Promise<void> {
    for (const host of this.#hosts) await this.#recover(host);
    for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
      for (const host of this.#hosts) {
        this.#advanceClock(host, TICK_MILLISECONDS);
        host.disk.releaseOperations();
      }
      for (const envelope of this.#network.takeAll()) this.#deliver(envelope);
      await runPendingTasks();
      this.#checkInvariants();
    }
  }

  #checkInvariants(): void {
    const running = this.#hosts.filter((host) => host.isRunning && !host.isSuspended);
    for (const { log, name } of running) {
      if (log.role !== 'leader') continue;
      const known = this.#leaderOfTerm.get(log.term);
      const isSecondLeader = known !== undefined && known !== log.identity;
      if (isSecondLeader)
        this.#violations.push(`term ${log.term} has two leaders: ${known} and ${name}`);
      this.#leaderOfTerm.set(log.term, log.identity);
      if (log.entriesInMemory < log.appliedIndex) this.#snapshots += 1;
    }
    if (running.filter((host) => host.log.serves).length > 1) {
      this.#violations.push('more than one member has a read lease');
    }
  }

  #checkFinalState(): void {
    const listed = this.#hosts.filter((host) => this.#listedHosts.includes(host.name));
    const leader = listed.find((host) => host.log.serves);
    if (leader === undefined) {
      this.#violations.push('no leader serves after all faults ended');
      return;
    }
    const voters = leader.log.membership.voters.map(hostNameOf).sort();
    if (voters.join() !== [...this.#listedHosts].sort().join()) {
      this.#violations.push(
        `final voters: ${voters.join()}; listed hosts: ${this.#listedHosts.join()}`,
      );
    }
    for (const { name, machine } of listed) {
      const commands = new Set(machine.commands);
      if (commands.size !== machine.commands.length)
        this.#violations.push(`${name} applied a command twice`);
      const lost = [...this.#acknowledged].filter((command) => !commands.has(command));
      if (lost.length > 0)
        this.#violations.push(`${name} lost acknowledged commands: ${lost.join()}`);
    }
  }

  #pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.#random.fraction() * values.length)] as T;
  }
}

/** Resolves after all callbacks that are already queued. */
function runPendingTasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
