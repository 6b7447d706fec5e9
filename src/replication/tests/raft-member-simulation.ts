import { SeededRandom } from '../../core';
import type { HardState, LogEntry, RaftEnvelope } from '../messages';
import { RaftMember } from '../raft-member';
import { UnreliableNetwork } from './unreliable-network';

interface Disk {
  hardState: HardState;
  entries: readonly LogEntry[];
}

interface Unsynced extends Disk {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly messages: readonly RaftEnvelope[];
}

interface Node {
  readonly name: string;
  member: RaftMember;
  disk: Disk;
  unsynced: Unsynced[];
  /** Contents of the disk once all writes are synced. */
  written: Disk;
  isRunning: boolean;
  isSuspended: boolean;
}

export interface SimulationReport {
  readonly violations: readonly string[];
  readonly committed: number;
  readonly leaders: number;
}

const TICK_MILLISECONDS = 15;

/**
 * Raft members without drivers, with in-memory network and disks. A seeded schedule delays,
 * duplicates, reorders and drops messages, blocks links in one or both directions, suspends members
 * and crashes them with the loss of unsynced writes.
 */
export class RaftMemberSimulation {
  readonly #random: SeededRandom;
  readonly #nodes: Node[];
  readonly #names: readonly string[];
  readonly #blockedLinks = new Set<string>();
  readonly #network: UnreliableNetwork<RaftEnvelope>;
  #now = 0;
  #proposals = 0;
  readonly #leaderOfTerm = new Map<number, string>();
  readonly #committed = new Map<number, LogEntry>();
  readonly #checkedUpTo = new Map<string, number>();
  readonly #violations: string[] = [];

  constructor(seed: number, size: number) {
    this.#random = new SeededRandom(seed);
    this.#network = new UnreliableNetwork(this.#random);
    this.#names = Array.from({ length: size }, (_, index) => `m${index}`);
    this.#nodes = this.#names.map((name) => this.#boot(name, createEmptyDisk()));
  }

  /** Runs random steps, then ends all faults and checks that the members converge. */
  run(steps: number): SimulationReport {
    for (let step = 0; step < steps; step += 1) this.#randomStep();
    this.#recoverAllAndSettle();
    this.#checkFinalState();
    const committed = [...this.#committed.keys()].length;
    if (!this.#nodes.some((node) => node.member.ready))
      this.#violations.push('no leader is ready after all faults ended');
    return {
      violations: this.#violations,
      committed,
      leaders: this.#leaderOfTerm.size,
    };
  }

  #boot(name: string, disk: Disk): Node {
    const member = new RaftMember({
      self: name,
      membership: { voters: this.#names, learners: [] },
      random: this.#random,
      heartbeatMilliseconds: 100,
      electionMilliseconds: 500,
      hardState: disk.hardState,
      entries: disk.entries,
    });
    member.start(this.#now);
    this.#checkedUpTo.set(name, 0);
    return { name, member, disk, unsynced: [], written: disk, isRunning: true, isSuspended: false };
  }

  #randomStep(): void {
    const choice = this.#random.fraction();
    const node = this.#pick(this.#nodes);
    if (node === undefined) return;
    if (choice < 0.5) this.#deliverSome();
    else if (choice < 0.62) this.#tick();
    else if (choice < 0.82) this.#syncSome(node);
    else if (choice < 0.94) this.#propose(node);
    else if (choice < 0.945) this.#blockLink();
    else if (choice < 0.95) node.isSuspended = true;
    else if (choice < 0.955) this.#crash(node);
    else if (choice < 0.975) this.#recover(node);
    else if (choice < 0.985) {
      this.#runMember(node, (member) => {
        member.transferLeadership(this.#now);
      });
    } else this.#network.drop();
  }

  #tick(): void {
    this.#now += TICK_MILLISECONDS * (1 + Math.floor(this.#random.fraction() * 3));
    for (const node of this.#nodes) {
      this.#runMember(node, (member) => {
        member.tick(this.#now);
      });
    }
  }

  #deliverSome(): void {
    const count = 1 + Math.floor(this.#random.fraction() * 8);
    for (let index = 0; index < count; index += 1) this.#deliverOne();
  }

  #syncSome(node: Node): void {
    const count = Math.ceil(this.#random.fraction() * node.unsynced.length);
    for (let index = 0; index < count; index += 1) this.#syncOne(node);
  }

  #deliverOne(): void {
    const envelope = this.#network.take();
    if (envelope !== undefined) this.#deliver(envelope);
  }

  #deliver(envelope: RaftEnvelope): void {
    if (this.#blockedLinks.has(`${envelope.message.from}>${envelope.to}`)) return;
    const node = this.#nodes.find((entry) => entry.name === envelope.to);
    if (node === undefined) return;
    this.#runMember(node, (member) => {
      member.receive(envelope.message, this.#now);
    });
  }

  #propose(node: Node): void {
    this.#proposals += 1;
    this.#runMember(node, (member) => {
      member.propose(`command ${this.#proposals}`, this.#now);
    });
  }

  /** Runs an action on a member and carries out its output. */
  #runMember(node: Node, action: (member: RaftMember) => void): void {
    if (!node.isRunning || node.isSuspended) return;
    action(node.member);
    const output = node.member.takeOutput();
    this.#network.send(...output.messages);
    const hasRecords =
      output.hardState !== undefined ||
      output.truncateFrom !== undefined ||
      output.entries.length > 0;
    if (hasRecords || output.messagesAfterSync.length > 0) {
      const { truncateFrom } = output;
      const kept =
        truncateFrom === undefined
          ? node.written.entries
          : node.written.entries.slice(0, truncateFrom - 1);
      node.written = {
        hardState: output.hardState ?? node.written.hardState,
        entries: [...kept, ...output.entries],
      };
      const { lastIndex, lastTerm } = node.member;
      node.unsynced.push({
        ...node.written,
        lastIndex,
        lastTerm,
        messages: output.messagesAfterSync,
      });
    }
    this.#checkInvariants(node);
  }

  #syncOne(node: Node): void {
    const first = node.unsynced.shift();
    if (first === undefined || !node.isRunning || node.isSuspended) {
      if (first !== undefined) node.unsynced.unshift(first);
      return;
    }
    node.disk = { hardState: first.hardState, entries: first.entries };
    this.#network.send(...first.messages);
    this.#runMember(node, (member) => {
      member.recordSynced(first.lastIndex, first.lastTerm);
    });
  }

  #crash(node: Node): void {
    node.isRunning = false;
    node.unsynced = [];
  }

  #recover(node: Node): void {
    this.#blockedLinks.clear();
    node.isSuspended = false;
    if (!node.isRunning) Object.assign(node, this.#boot(node.name, node.disk));
  }

  #blockLink(): void {
    const from = this.#pick(this.#names);
    const to = this.#pick(this.#names);
    this.#blockedLinks.add(`${from ?? ''}>${to ?? ''}`);
  }

  #recoverAllAndSettle(): void {
    for (const node of this.#nodes) this.#recover(node);
    for (let round = 0; round < 400; round += 1) {
      this.#now += TICK_MILLISECONDS;
      for (const node of this.#nodes) {
        this.#runMember(node, (member) => {
          member.tick(this.#now);
        });
        while (node.unsynced.length > 0) this.#syncOne(node);
      }
      for (const envelope of this.#network.takeAll()) this.#deliver(envelope);
    }
  }

  #checkFinalState(): void {
    for (const node of this.#nodes) this.#checkInvariants(node);
    const indexes = this.#nodes.map((node) => node.member.commitIndex);
    if (new Set(indexes).size > 1)
      this.#violations.push(`final commit indexes differ: ${indexes.join()}`);
  }

  /** Checks for one leader per term, one read lease and one committed entry per index. */
  #checkInvariants(node: Node): void {
    const { member, name } = node;
    if (member.role === 'leader') {
      const known = this.#leaderOfTerm.get(member.term);
      if (known !== undefined && known !== name) {
        this.#violations.push(`term ${member.term} has two leaders: ${known} and ${name}`);
      }
      this.#leaderOfTerm.set(member.term, name);
      const leaseHolders = this.#nodes.filter(
        (other) => other.isRunning && !other.isSuspended && other.member.hasReadLease(this.#now),
      );
      if (leaseHolders.length > 1) this.#violations.push('more than one member has a read lease');
    }
    const from = (this.#checkedUpTo.get(name) ?? 0) + 1;
    for (const entry of member.log.range(from, member.commitIndex)) {
      const known = this.#committed.get(entry.index);
      if (known === undefined) this.#committed.set(entry.index, entry);
      else if (known.term !== entry.term || known.command !== entry.command) {
        this.#violations.push(`index ${entry.index} has two committed entries`);
      }
    }
    this.#checkedUpTo.set(name, Math.max(from - 1, member.commitIndex));
  }

  #pick<T>(values: readonly T[]): T | undefined {
    return values[Math.floor(this.#random.fraction() * values.length)];
  }
}

function createEmptyDisk(): Disk {
  return { hardState: { term: 0, votedFor: undefined }, entries: [] };
}
