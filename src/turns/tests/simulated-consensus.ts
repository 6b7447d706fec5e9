import type {
  ClusterCommand,
  ClusterReplica,
  ClusterStateMachine,
  CommandOutcome,
} from '../../cluster';
import type { RandomSource } from '../../core';
import type { EventClock } from './event-clock';
import type { SimulatedNetwork } from './simulated-network';
import type { SimulatedProcess } from './simulated-process';

/** Greatest time until a proposed command is committed. */
const COMMIT_MILLISECONDS = 12;

const REPLICATION_INTERVAL_MILLISECONDS = 50;

/** Time without a leader after which another one is elected. */
const ELECTION_MILLISECONDS = 800;

/** Fraction of the commands of a deposed leader that its successor commits. */
const ORPHANED_COMMIT_FRACTION = 0.5;

interface Replica {
  readonly process: SimulatedProcess;
  readonly stateMachine: ClusterStateMachine;
  applied: number;
}

/**
 * Stands in for the replicated log: one list of committed commands, a leader that serves only while
 * it reaches a majority, and followers that apply the commands later.
 */
export class SimulatedConsensus {
  readonly #clock: EventClock;
  readonly #random: RandomSource;
  readonly #network: SimulatedNetwork;
  readonly #size: number;
  readonly #onCommit: () => void;
  readonly #commands: string[] = [];
  readonly #replicas = new Map<string, Replica>();
  #leader: Replica | undefined;
  #leaderless = 0;
  #term = 0;
  #since = 0;

  constructor(options: {
    readonly clock: EventClock;
    readonly random: RandomSource;
    readonly network: SimulatedNetwork;
    readonly size: number;
    readonly onCommit: () => void;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#network = options.network;
    this.#size = options.size;
    this.#onCommit = options.onCommit;
    this.#tick();
  }

  /** Adds the replica of a process, in place of that of its former run. */
  add(process: SimulatedProcess, stateMachine: ClusterStateMachine): ClusterReplica {
    const replica: Replica = { process, stateMachine, applied: 0 };
    this.#replicas.set(process.name, replica);
    const leads = () => this.#leads(replica);
    const hint = () => this.#hintFor(replica);
    const leadership = () => ({ term: this.#term, since: this.#since });
    const standIn = {
      stateMachine,
      isNew: false,
      get serves() {
        return leads();
      },
      get leader() {
        return hint();
      },
      get leadership() {
        return leadership();
      },
      receive: () => undefined,
      propose: (command: ClusterCommand) => this.#propose(replica, command),
      read: <Value>(read: () => Value) =>
        leads() ? { kind: 'done', value: read() } : { kind: 'not-leader', leader: hint() },
    };
    return standIn as unknown as ClusterReplica;
  }

  /** Ends the current leadership; another replica, or the same one, is elected later. */
  depose(): void {
    this.#leader = undefined;
  }

  /** The committed commands, oldest first. */
  get commands(): readonly string[] {
    return this.#commands;
  }

  #leads(replica: Replica): boolean {
    return this.#leader === replica && this.#reachesMajority(replica);
  }

  #reachesMajority(replica: Replica): boolean {
    if (!replica.process.isResponsive) return false;
    const reached = [...this.#replicas.values()].filter((other) => this.#reaches(replica, other));
    return reached.length > this.#size / 2;
  }

  #reaches(from: Replica, to: Replica): boolean {
    if (from === to) return true;
    return to.process.isResponsive && this.#network.isConnected(from.process.name, to.process.name);
  }

  #hintFor(replica: Replica) {
    const leader = this.#leader;
    if (leader === undefined || !this.#leads(leader) || !this.#reaches(leader, replica)) {
      return undefined;
    }
    const { name, address } = leader.process;
    return { name, address, term: this.#term };
  }

  #tick(): void {
    const leader = this.#leader;
    if (leader !== undefined && this.#leads(leader)) {
      this.#leaderless = 0;
      for (const replica of this.#replicas.values()) {
        if (this.#reaches(leader, replica)) this.#applyAll(replica);
      }
    } else {
      this.#leader = undefined;
      this.#leaderless += REPLICATION_INTERVAL_MILLISECONDS;
      if (this.#leaderless > ELECTION_MILLISECONDS) this.#elect();
    }
    this.#clock.after(REPLICATION_INTERVAL_MILLISECONDS, () => {
      this.#tick();
    });
  }

  #elect(): void {
    const candidates = [...this.#replicas.values()].filter((replica) =>
      this.#reachesMajority(replica),
    );
    const elected = candidates[Math.floor(this.#random.fraction() * candidates.length)];
    if (elected === undefined) return;
    this.#leader = elected;
    this.#term += 1;
    this.#since = this.#clock.monotonic();
    this.#applyAll(elected);
  }

  #applyAll(replica: Replica): CommandOutcome {
    let outcome: CommandOutcome = 'unchanged';
    for (; replica.applied < this.#commands.length; replica.applied += 1) {
      outcome = replica.stateMachine.apply(this.#commands[replica.applied] ?? '');
    }
    return outcome;
  }

  #propose(replica: Replica, command: ClusterCommand) {
    const term = this.#term;
    return new Promise((resolve) => {
      this.#clock.after(this.#random.fraction() * COMMIT_MILLISECONDS, () => {
        const leads = this.#leads(replica) && term === this.#term;
        if (leads || this.#random.fraction() < ORPHANED_COMMIT_FRACTION) {
          this.#commands.push(JSON.stringify(command));
          this.#onCommit();
        }
        replica.process.run(() => {
          if (leads) resolve({ kind: 'done', value: this.#applyAll(replica) });
          else resolve({ kind: 'not-now', reason: 'the leader was deposed' });
        });
      });
    });
  }
}
