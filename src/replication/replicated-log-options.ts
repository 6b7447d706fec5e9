import type { CancelTimer, Clock, RandomSource } from '../core';
import type { RecordStore } from '../storage';
import type { Membership } from './membership';
import type { Envelope } from './messages';
import type { RaftRole } from './raft-options';

/** Sends messages to other members; they may be lost, duplicated or reordered. */
export interface ReplicationTransport {
  send(envelope: Envelope): void;
}

/** Deterministic state machine driven by the committed commands. */
export interface StateMachine<Result> {
  /** Applies one committed command; the first entry of the log has `index` 1. */
  apply(command: string, index: number, term: number): Result;
  /** Rows of the current state, without line feeds; the caller may iterate them later. */
  snapshot(): Iterable<string>;
  /** Replaces the state by the rows of a snapshot. */
  restore(rows: readonly string[]): void;
  /** Rows of a snapshot for another host; defaults to {@link snapshot}. */
  snapshotForTransfer?(): AsyncIterable<string>;
  /**
   * Syncs external content that the rows of a snapshot refer to; resolves with an action to run
   * once that snapshot is stored.
   */
  flush?(): Promise<() => Promise<void>>;
}

export interface ReplicatedLogOptions<Result> {
  /** Name of this host. */
  readonly self: string;
  /**
   * Names of the desired member hosts, including this one, in the same order on every host. The
   * first host bootstraps the log and is the preferred leader. The list may change over time.
   */
  readonly hosts: () => readonly string[];
  readonly store: RecordStore;
  readonly transport: ReplicationTransport;
  readonly machine: StateMachine<Result>;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Calls an action at least twice per heartbeat interval; defaults to a separate timer. */
  readonly everyTick?: (action: () => void) => CancelTimer;
  readonly heartbeatMilliseconds?: number;
  readonly electionMilliseconds?: number;
  /** Applied entries after which a snapshot is taken. */
  readonly snapshotEntries?: number;
  /** Characters of applied commands after which a snapshot is taken. */
  readonly snapshotCharacters?: number;
  /** Called when the role, leader, term, readiness to serve or right to vote changes. */
  readonly onChange?: () => void;
  /** Called when this member, as leader, proposes a new membership. */
  readonly onMembership?: (membership: Membership, reason: string) => void;
  /**
   * Called once when the store fails or a change of the state stops half-way; the member then stops
   * processing messages. After its stop another one can start from the disk.
   */
  readonly onFailure?: (error: unknown) => void;
}

/** A replicated log without the means to propose commands. */
export interface LogView {
  readonly role: RaftRole;
  readonly term: number;
  /** Identity of the leader, if one is known. */
  readonly leader: string | undefined;
  readonly membership: Membership;
  /** Identities of members that have not answered this leader recently. */
  readonly unresponsiveMembers: readonly string[];
  readonly appliedIndex: number;
  /** Whether this member leads and its state includes every acknowledged command. */
  readonly serves: boolean;
  /** Processes messages of other members; resulting messages are sent through the transport. */
  receive(envelopes: readonly Envelope[]): void;
  /** Processes messages of one member and resolves with the answers to it. */
  exchange(envelopes: readonly Envelope[]): Promise<readonly Envelope[]>;
}
