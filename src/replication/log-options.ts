import type { CancelTimer, Clock, RandomSource } from '../core';
import type { RecordStore } from '../storage';
import type { Membership } from './membership';
import type { Envelope } from './messages';
import type { RaftRole } from './raft-options';

/** Carries messages to other members; delivery may fail, repeat or come out of order. */
export interface ReplicationTransport {
  send(envelope: Envelope): void;
}

/** The deterministic state that the log's commands drive. */
export interface StateMachine<Result> {
  /** Applies one committed command; `index` counts from 1. */
  apply(command: string, index: number, term: number): Result;
  /** The present state as rows of text without line feeds; they may be read later, one by one. */
  snapshot(): Iterable<string>;
  /** Replaces the state by that of a snapshot. */
  restore(rows: readonly string[]): void;
  /** A snapshot for another host; the same rows unless given. */
  transfer?(): AsyncIterable<string>;
  /**
   * Syncs what the rows of a snapshot refer to; resolves with what is to be done once that
   * snapshot is in place.
   */
  flush?(): Promise<() => Promise<void>>;
}

/** What a replicated log is built from; times in milliseconds. */
export interface ReplicatedLogOptions<Result> {
  /** Name of this host. */
  readonly self: string;
  /**
   * Names of the hosts that are to be members, this one included, in the same order everywhere.
   * The first one founds the log, and is given the lead again some time after it lost it. The list
   * may change over time.
   */
  readonly hosts: () => readonly string[];
  readonly store: RecordStore;
  readonly transport: ReplicationTransport;
  readonly machine: StateMachine<Result>;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Calls an action at least twice in a heartbeat time; a timer of its own unless given. */
  readonly everyTick?: (action: () => void) => CancelTimer;
  readonly heartbeatMilliseconds?: number;
  readonly electionMilliseconds?: number;
  /** Applied entries from which a snapshot takes their place. */
  readonly snapshotEntries?: number;
  /** The same as characters of their commands. */
  readonly snapshotCharacters?: number;
  /** Called when the role or leader changes. */
  readonly onChange?: () => void;
  /** Called when this leader changes the membership. */
  readonly onMembership?: (membership: Membership, reason: string) => void;
  /** Called once when the disk fails; the member takes no further part. */
  readonly onFailure?: (error: unknown) => void;
}

/** A replicated log as those see it who propose nothing. */
export interface LogView {
  readonly role: RaftRole;
  readonly term: number;
  /** Identity of the leader, if one is known. */
  readonly leader: string | undefined;
  readonly membership: Membership;
  /** Members that have not answered this leader for a while. */
  readonly silentMembers: readonly string[];
  readonly appliedIndex: number;
  /** Whether this member leads and its state holds every acknowledged command. */
  readonly serves: boolean;
  /** Takes messages from other members; what they cause goes out through the transport. */
  receive(envelopes: readonly Envelope[]): void;
  /** Takes messages that one member sent, and resolves with the answers to it. */
  exchange(envelopes: readonly Envelope[]): Promise<readonly Envelope[]>;
}
