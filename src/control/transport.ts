import { type Clock, type Logger, messageOf, startTimeout } from '../core';
import type { ControlClient } from '../protocol';
import type { Envelope, RaftMessage, ReplicationTransport } from '../replication';

/** Longest wait for a peer's answers; milliseconds. */
const DELIVERY_MILLISECONDS = 1000;

/** Messages kept for a peer that is slow; older ones are dropped, since newer ones replace them. */
const QUEUE_LIMIT = 64;

export interface ControlTransportOptions {
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Takes a peer's answers. */
  readonly receive: (messages: readonly RaftMessage[]) => void;
}

/**
 * Carries replication messages over tRPC, one call at a time to each peer. The peer's answers
 * come back with the call, which saves a call in the other direction.
 */
export class ControlTransport implements ReplicationTransport {
  readonly #options: ControlTransportOptions;
  readonly #queues = new Map<string, RaftMessage[]>();
  readonly #sending = new Set<string>();
  #stopped = false;

  constructor(options: ControlTransportOptions) {
    this.#options = options;
  }

  send(envelope: Envelope): void {
    const queue = this.#queues.get(envelope.to) ?? [];
    queue.push(envelope.message);
    if (queue.length > QUEUE_LIMIT) queue.shift();
    this.#queues.set(envelope.to, queue);
    if (!this.#sending.has(envelope.to)) void this.#drain(envelope.to);
  }

  stop(): void {
    this.#stopped = true;
  }

  async #drain(peer: string): Promise<void> {
    this.#sending.add(peer);
    for (;;) {
      const messages = this.#queues.get(peer) ?? [];
      if (messages.length === 0 || this.#stopped) break;
      this.#queues.set(peer, []);
      await this.#deliver(peer, messages);
    }
    this.#sending.delete(peer);
  }

  async #deliver(peer: string, messages: RaftMessage[]): Promise<void> {
    const { client, clock, logger, receive } = this.#options;
    const { controller, cancel } = startTimeout(clock, DELIVERY_MILLISECONDS);
    try {
      const connection = client.member(peer);
      if (connection === undefined) return;
      const { signal } = controller;
      const { answers } = await connection.replication.deliver.mutate({ messages }, { signal });
      receive(answers);
    } catch (error) {
      logger.debug({ event: 'replication-send-failed', peer, error: messageOf(error) });
    } finally {
      cancel();
    }
  }
}
