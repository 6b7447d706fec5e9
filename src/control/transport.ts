import { type Logger, messageOf } from '../core';
import type { ControlClient } from '../protocol';
import type { Envelope, RaftMessage, ReplicationTransport } from '../replication';

/** Messages kept for a peer that is slow; older ones are dropped, since newer ones replace them. */
const QUEUE_LIMIT = 64;

/** Carries replication messages over tRPC, one call at a time to each peer. */
export class ControlTransport implements ReplicationTransport {
  readonly #client: ControlClient;
  readonly #logger: Logger;
  readonly #queues = new Map<string, RaftMessage[]>();
  readonly #sending = new Set<string>();
  #stopped = false;

  constructor(client: ControlClient, logger: Logger) {
    this.#client = client;
    this.#logger = logger;
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
    try {
      await this.#client.member(peer)?.replication.deliver.mutate({ messages });
    } catch (error) {
      this.#logger.debug({ event: 'replication-send-failed', peer, error: messageOf(error) });
    }
  }
}
