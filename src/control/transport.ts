import { type Clock, type Logger, messageOf, startTimeout } from '../core';
import type { ControlClient } from '../protocol';
import { type Envelope, type ReplicationTransport, hostOf } from '../replication';

/** Longest wait for a peer's answers; milliseconds. */
const DELIVERY_MILLISECONDS = 1000;

/** Messages kept for a peer that is slow; older ones are dropped, since newer ones replace them. */
const QUEUE_LIMIT = 64;

export interface ControlTransportOptions {
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Takes a peer's answers. */
  readonly receive: (envelopes: readonly Envelope[]) => void;
}

/**
 * Carries replication messages over tRPC, one call at a time to each peer. The peer's answers
 * come back with the call, which saves a call in the other direction.
 */
export class ControlTransport implements ReplicationTransport {
  readonly #options: ControlTransportOptions;
  readonly #queues = new Map<string, Envelope[]>();
  readonly #sending = new Set<string>();
  #stopped = false;

  constructor(options: ControlTransportOptions) {
    this.#options = options;
  }

  send(envelope: Envelope): void {
    const peer = hostOf(envelope);
    const queue = this.#queues.get(peer) ?? [];
    queue.push(envelope);
    if (queue.length > QUEUE_LIMIT) queue.shift();
    this.#queues.set(peer, queue);
    if (!this.#sending.has(peer)) void this.#drain(peer);
  }

  stop(): void {
    this.#stopped = true;
  }

  async #drain(peer: string): Promise<void> {
    this.#sending.add(peer);
    for (;;) {
      const envelopes = this.#queues.get(peer) ?? [];
      if (envelopes.length === 0 || this.#stopped) break;
      this.#queues.set(peer, []);
      await this.#deliver(peer, envelopes);
    }
    this.#sending.delete(peer);
  }

  async #deliver(peer: string, envelopes: Envelope[]): Promise<void> {
    const { client, clock, logger, receive } = this.#options;
    const { controller, cancel } = startTimeout(clock, DELIVERY_MILLISECONDS);
    try {
      const connection = client.member(peer);
      if (connection === undefined) return;
      const { signal } = controller;
      const { answers } = await connection.replication.deliver.mutate({ envelopes }, { signal });
      receive(answers);
    } catch (error) {
      logger.debug({ event: 'replication-send-failed', peer, error: messageOf(error) });
    } finally {
      cancel();
    }
  }
}
