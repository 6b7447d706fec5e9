import type { Membership } from './membership';
import type { HardState, LogEntry, RaftEnvelope, RaftMessage } from './messages';

/** Work for the driver of a member, to be done in the order of the fields. */
export interface RaftOutput {
  /** Messages to send at once. */
  readonly messages: readonly RaftEnvelope[];
  /** This and the next three fields are written and synced in this order. */
  readonly initialMembership: Membership | undefined;
  readonly hardState: HardState | undefined;
  readonly truncateFrom: number | undefined;
  readonly entries: readonly LogEntry[];
  /** Messages to send once all of the above is synced. */
  readonly messagesAfterSync: readonly RaftEnvelope[];
  /** Peers that need dropped entries and therefore a snapshot. */
  readonly peersNeedingSnapshot: readonly string[];
}

/** Collects the work for a member's driver between two calls. */
export class Outbox {
  #messages: RaftEnvelope[] = [];
  #messagesAfterSync: RaftEnvelope[] = [];
  #entries: LogEntry[] = [];
  #truncateFrom: number | undefined;
  #hardStateChanged = false;
  #peersNeedingSnapshot: string[] = [];
  #initialMembership: Membership | undefined;

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

  markHardStateChanged(): void {
    this.#hardStateChanged = true;
  }

  setInitialMembership(membership: Membership): void {
    this.#initialMembership = membership;
  }

  requestSnapshot(peer: string): void {
    this.#peersNeedingSnapshot.push(peer);
  }

  /** Returns and clears the collected work; `hardState` is the current one. */
  drain(hardState: HardState): RaftOutput {
    const output: RaftOutput = {
      messages: this.#messages,
      initialMembership: this.#initialMembership,
      hardState: this.#hardStateChanged ? hardState : undefined,
      truncateFrom: this.#truncateFrom,
      entries: this.#entries,
      messagesAfterSync: this.#messagesAfterSync,
      peersNeedingSnapshot: this.#peersNeedingSnapshot,
    };
    this.#messages = [];
    this.#initialMembership = undefined;
    this.#messagesAfterSync = [];
    this.#entries = [];
    this.#truncateFrom = undefined;
    this.#hardStateChanged = false;
    this.#peersNeedingSnapshot = [];
    return output;
  }
}
