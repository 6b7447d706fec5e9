import type { Clock, RandomSource } from '../core';
import type { RecordStore } from '../storage';
import type { Membership } from './membership';
import type { Envelope } from './messages';

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
}

/** What a replicated log is built from; times in milliseconds. */
export interface ReplicatedLogOptions<Result> {
  /** Name of this host. */
  readonly self: string;
  /** Names of the hosts that are to be members, this one included; it may change over time. */
  readonly hosts: () => readonly string[];
  readonly store: RecordStore;
  readonly transport: ReplicationTransport;
  readonly machine: StateMachine<Result>;
  readonly clock: Clock;
  readonly random: RandomSource;
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
