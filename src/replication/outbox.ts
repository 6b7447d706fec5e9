import type { Membership } from './membership';
import type { HardState, LogEntry, RaftEnvelope, RaftMessage } from './messages';

/** What the driver of a member has to do next, in this order. */
export interface RaftOutput {
  /** To be sent at once. */
  readonly messages: readonly RaftEnvelope[];
  /** To be synced, in this order. */
  readonly founded: Membership | undefined;
  readonly hardState: HardState | undefined;
  readonly truncateFrom: number | undefined;
  readonly entries: readonly LogEntry[];
  /** To be sent only once everything above is synced. */
  readonly messagesAfterSync: readonly RaftEnvelope[];
  /** Peers that need entries which were dropped, and so a snapshot. */
  readonly snapshotsFor: readonly string[];
}

/** Collects what a member asks of its driver between two calls. */
export class Outbox {
  #messages: RaftEnvelope[] = [];
  #messagesAfterSync: RaftEnvelope[] = [];
  #entries: LogEntry[] = [];
  #truncateFrom: number | undefined;
  #hardStateChanged = false;
  #snapshotsFor: string[] = [];
  #founded: Membership | undefined;

  send(to: string, message: RaftMessage): void {
    this.#messages.push({ to, message });
  }

  sendAfterSync(to: string, message: RaftMessage): void {
    this.#messagesAfterSync.push({ to, message });
  }

  addEntries(entries: readonly LogEntry[]): void {
    for (const entry of entries) this.#entries.push(entry);
  }

  truncateFrom(index: number): void {
    this.#entries = this.#entries.filter((entry) => entry.index < index);
    this.#truncateFrom = Math.min(this.#truncateFrom ?? Infinity, index);
  }

  hardStateChanged(): void {
    this.#hardStateChanged = true;
  }

  foundedBy(membership: Membership): void {
    this.#founded = membership;
  }

  needsSnapshot(peer: string): void {
    this.#snapshotsFor.push(peer);
  }

  /** Hands out everything collected; `hardState` is the present one. */
  take(hardState: HardState): RaftOutput {
    const output: RaftOutput = {
      messages: this.#messages,
      founded: this.#founded,
      hardState: this.#hardStateChanged ? hardState : undefined,
      truncateFrom: this.#truncateFrom,
      entries: this.#entries,
      messagesAfterSync: this.#messagesAfterSync,
      snapshotsFor: this.#snapshotsFor,
    };
    this.#messages = [];
    this.#founded = undefined;
    this.#messagesAfterSync = [];
    this.#entries = [];
    this.#truncateFrom = undefined;
    this.#hardStateChanged = false;
    this.#snapshotsFor = [];
    return output;
  }
}
