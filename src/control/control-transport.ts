import { type Clock, type Logger, messageOf, startTimeout } from '../core';
import type { ControlClient, GroupEnvelopes } from '../protocol';
import { type Envelope, type ReplicationTransport, destinationHostOf } from '../replication';

/** Timeout of one delivery, including the peer's replies. */
const DELIVERY_TIMEOUT_MILLISECONDS = 1000;

/** Maximum queue length; older messages are dropped, since newer ones supersede them. */
const QUEUE_LIMIT = 64;

export interface ControlTransportOptions {
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called with a peer's replies. */
  readonly receive: (batch: GroupEnvelopes) => void;
}

interface QueuedEnvelope {
  readonly group: string;
  readonly envelope: Envelope;
}

/** Messages to one peer, sent in batches with at most one call in flight. */
interface SendQueue {
  readonly peer: string;
  envelopes: QueuedEnvelope[];
  sending: boolean;
}

/**
 * Sends replication messages over tRPC. Messages that need no disk sync at the peer, such as
 * heartbeats, share one queue per peer; messages that do have a queue per peer and group, so that a
 * slow group does not delay the others. The peer's replies are returned by the call.
 */
export class ControlTransport {
  readonly #options: ControlTransportOptions;
  readonly #queues = new Map<string, SendQueue>();
  #stopped = false;

  constructor(options: ControlTransportOptions) {
    this.#options = options;
  }

  forGroup(group: string): ReplicationTransport {
    return {
      send: (envelope) => {
        this.#send({ group, envelope });
      },
    };
  }

  stop(): void {
    this.#stopped = true;
  }

  #send(queued: QueuedEnvelope): void {
    const peer = destinationHostOf(queued.envelope);
    const key = requiresNoSync(queued.envelope) ? peer : `${peer} ${queued.group}`;
    const queue = this.#queues.get(key) ?? { peer, envelopes: [], sending: false };
    this.#queues.set(key, queue);
    queue.envelopes.push(queued);
    if (queue.envelopes.length > QUEUE_LIMIT) queue.envelopes.shift();
    if (queue.sending) return;
    queue.sending = true;
    queueMicrotask(() => void this.#sendAll(queue));
  }

  async #sendAll(queue: SendQueue): Promise<void> {
    while (queue.envelopes.length > 0 && !this.#stopped) {
      const envelopes = queue.envelopes;
      queue.envelopes = [];
      await this.#deliver(queue.peer, groupEnvelopes(envelopes));
    }
    queue.sending = false;
  }

  async #deliver(peer: string, batches: GroupEnvelopes[]): Promise<void> {
    const { client, clock, logger, receive } = this.#options;
    const { controller, cancel } = startTimeout(clock, DELIVERY_TIMEOUT_MILLISECONDS);
    try {
      const connection = client.member(peer);
      if (connection === undefined) return;
      const { signal } = controller;
      const { answers } = await connection.replication.deliver.mutate({ batches }, { signal });
      for (const answer of answers) receive(answer);
    } catch (error) {
      logger.debug({ event: 'replication-send-failed', peer, error: messageOf(error) });
    } finally {
      cancel();
    }
  }
}

function requiresNoSync({ message }: Envelope): boolean {
  if (message.kind === 'append') return message.entries.length === 0;
  return message.kind === 'hello' || message.kind === 'append-answer';
}

function groupEnvelopes(queued: readonly QueuedEnvelope[]): GroupEnvelopes[] {
  const groups = new Map<string, Envelope[]>();
  for (const { group, envelope } of queued) {
    groups.set(group, [...(groups.get(group) ?? []), envelope]);
  }
  return [...groups].map(([group, envelopes]) => ({ group, envelopes }));
}
