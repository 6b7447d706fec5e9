import { SeededRandom } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/disk';
import { type Envelope, ReplicatedLog, hostOf, nameOf } from '..';
import { ListMachine } from './list-machine';
import { MessyNetwork } from './messy-network';

interface Host {
  readonly name: string;
  readonly disk: MemoryDisk;
  clock: ManualClock;
  machine: ListMachine;
  log: ReplicatedLog<number>;
  alive: boolean;
  frozen: boolean;
  /** Time that passed while it was frozen. */
  missed: number;
}

/** What a run has shown. */
export interface RunReport {
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
 * Whole members, with their drivers and stores, over a network and disks in memory. A seeded
 * schedule delivers messages late, twice, out of order or not at all, cuts links in one or both
 * directions, slows disks, freezes hosts, takes their power or their disks, and changes the list
 * of hosts.
 */
export class Cluster {
  readonly #random: SeededRandom;
  readonly #hosts: Host[] = [];
  readonly #cuts = new Set<string>();
  #names: readonly string[];
  readonly #network: MessyNetwork<Envelope>;
  #proposals = 0;
  #wipes = 0;
  #snapshots = 0;
  readonly #acknowledged = new Set<string>();
  readonly #committed = new Map<number, string>();
  readonly #leaderOfTerm = new Map<number, string>();
  readonly #violations: string[] = [];

  private constructor(seed: number, size: number) {
    this.#random = new SeededRandom(seed);
    this.#network = new MessyNetwork(this.#random);
    this.#names = Array.from({ length: size }, (_, index) => `m${index}`);
  }

  /** Runs a number of random steps, then mends everything and lets the members settle. */
  static async run(seed: number, size: number, steps: number): Promise<RunReport> {
    const cluster = new Cluster(seed, size);
    for (const name of cluster.#names) await cluster.#add(name);
    await cluster.#settle();
    for (let step = 0; step < steps; step += 1) {
      await cluster.#randomStep();
      await flush();
      cluster.#check();
    }
    await cluster.#settle();
    cluster.#checkEnd();
    return cluster.#report();
  }

  #report(): RunReport {
    return {
      violations: this.#violations,
      acknowledged: this.#acknowledged.size,
      leaders: this.#leaderOfTerm.size,
      snapshots: this.#snapshots,
      wipes: this.#wipes,
    };
  }

  async #add(name: string): Promise<void> {
    const host = { name, disk: new MemoryDisk(), frozen: false, alive: false, missed: 0 };
    const parts = this.#build(name, host.disk);
    const added: Host = { ...host, ...parts };
    this.#hosts.push(added);
    await this.#start(added);
  }

  #build(name: string, disk: MemoryDisk): Pick<Host, 'clock' | 'machine' | 'log'> {
    const clock = new ManualClock();
    clock.advance(this.#random.fraction() * 10_000);
    const machine = new ListMachine((index, command) => {
      this.#note(index, command);
    });
    const log = new ReplicatedLog<number>({
      self: name,
      hosts: () => this.#names,
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
    host.disk.slow = false;
    await host.log.start();
    host.disk.slow = true;
    host.alive = true;
  }

  async #restart(host: Host): Promise<void> {
    Object.assign(host, this.#build(host.name, host.disk));
    await this.#start(host);
  }

  /** One entry to a committed index, for ever. */
  #note(index: number, command: string): void {
    const known = this.#committed.get(index);
    if (known === undefined) this.#committed.set(index, command);
    else if (known !== command)
      this.#violations.push(`index ${index} was committed as two entries`);
  }

  async #randomStep(): Promise<void> {
    const choice = this.#random.fraction();
    const host = this.#pick(this.#hosts);
    if (choice < 0.42) this.#deliverSome();
    else if (choice < 0.6) this.#tick();
    else if (choice < 0.8) for (const other of this.#hosts) this.#letGo(other);
    else if (choice < 0.94) this.#propose(host);
    else if (choice < 0.945) this.#cut();
    else if (choice < 0.947) host.frozen = host.alive;
    else if (choice < 0.951) this.#crash(host);
    else if (choice < 0.952) for (const other of this.#hosts) this.#crash(other);
    else if (choice < 0.957) this.#wipe(host);
    else if (choice < 0.975) await this.#mend(this.#broken ?? host);
    else if (choice < 0.978) await this.#changeNames();
    else this.#network.drop();
  }

  #tick(): void {
    const milliseconds = TICK_MILLISECONDS * (1 + Math.floor(this.#random.fraction() * 5));
    for (const host of this.#hosts) this.#pass(host, milliseconds);
  }

  #pass(host: Host, milliseconds: number): void {
    if (host.frozen) host.missed += milliseconds;
    else if (host.alive) host.clock.advance(milliseconds);
  }

  #letGo(host: Host): void {
    if (!host.frozen) host.disk.letGo(1 + Math.floor(this.#random.fraction() * 10));
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
    const to = hostOf(envelope);
    if (this.#cuts.has(`${nameOf(envelope.message.from)}>${to}`)) return;
    const host = this.#hosts.find((entry) => entry.name === to);
    if (host?.alive === true && !host.frozen) host.log.receive([envelope]);
  }

  #propose(host: Host): void {
    if (!host.alive || host.frozen) return;
    this.#proposals += 1;
    const command = `command ${this.#proposals}`;
    host.log.propose(command).then(
      () => this.#acknowledged.add(command),
      () => undefined,
    );
  }

  #crash(host: Host): void {
    if (!host.alive) return;
    host.alive = false;
    host.frozen = false;
    host.disk.crash(this.#random);
  }

  /** Takes a disk away, unless a disk that was taken before is not filled again yet. */
  #wipe(host: Host): void {
    if (!this.#allAreVoters()) return;
    this.#crash(host);
    host.disk.wipe();
    this.#wipes += 1;
  }

  #allAreVoters(): boolean {
    const leader = this.#hosts.find((host) => host.alive && !host.frozen && host.log.serves);
    const voters = leader?.log.membership.voters ?? [];
    const identities = this.#hosts.map((host) => host.log.identity);
    const enough = this.#names.length >= 3;
    return (
      enough &&
      this.#hosts.every((host) => host.alive) &&
      identities.every((identity) => voters.includes(identity))
    );
  }

  get #broken(): Host | undefined {
    return this.#hosts.find((host) => host.frozen || !host.alive);
  }

  async #mend(host: Host): Promise<void> {
    this.#cuts.clear();
    if (host.frozen) {
      host.frozen = false;
      host.clock.jump(host.missed);
      host.missed = 0;
    }
    if (!host.alive) await this.#restart(host);
  }

  #cut(): void {
    this.#cuts.add(`${this.#pick(this.#names)}>${this.#pick(this.#names)}`);
  }

  /** Lists one host more, or takes the additional one off the list. */
  async #changeNames(): Promise<void> {
    const extra = 'm9';
    if (this.#names.includes(extra)) {
      this.#names = this.#names.filter((name) => name !== extra);
      return;
    }
    this.#names = [...this.#names, extra];
    if (!this.#hosts.some((host) => host.name === extra)) await this.#add(extra);
  }

  async #settle(): Promise<void> {
    for (const host of this.#hosts) await this.#mend(host);
    for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
      for (const host of this.#hosts) {
        this.#pass(host, TICK_MILLISECONDS);
        host.disk.letGo();
      }
      for (const envelope of this.#network.takeAll()) this.#deliver(envelope);
      await flush();
      this.#check();
    }
  }

  #check(): void {
    const running = this.#hosts.filter((host) => host.alive && !host.frozen);
    for (const { log, name } of running) {
      if (log.role !== 'leader') continue;
      const known = this.#leaderOfTerm.get(log.term);
      const differs = known !== undefined && known !== log.identity;
      if (differs) this.#violations.push(`term ${log.term} has leaders ${known} and ${name}`);
      this.#leaderOfTerm.set(log.term, log.identity);
      if (log.entriesHeld < log.appliedIndex) this.#snapshots += 1;
    }
    if (running.filter((host) => host.log.serves).length > 1) {
      this.#violations.push('two members hold a read lease');
    }
  }

  #checkEnd(): void {
    const listed = this.#hosts.filter((host) => this.#names.includes(host.name));
    const leader = listed.find((host) => host.log.serves);
    if (leader === undefined) {
      this.#violations.push('no leader at the end');
      return;
    }
    const voters = leader.log.membership.voters.map(nameOf).sort();
    if (voters.join() !== [...this.#names].sort().join()) {
      this.#violations.push(`voters at the end: ${voters.join()}, listed: ${this.#names.join()}`);
    }
    for (const { name, machine } of listed) {
      const commands = new Set(machine.commands);
      if (commands.size !== machine.commands.length) this.#violations.push(`${name} repeats`);
      const lost = [...this.#acknowledged].filter((command) => !commands.has(command));
      if (lost.length > 0) this.#violations.push(`${name} lost ${lost.join()}`);
    }
  }

  #pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.#random.fraction() * values.length)] as T;
  }
}

/** Lets everything run that waits for nothing but its turn. */
function flush(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
