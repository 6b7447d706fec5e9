import { type Clock, type Logger, messageOf, startTimeout } from '../core';
import type { ControlClient, GroupEnvelopes } from '../protocol';
import { type Envelope, type ReplicationTransport, destinationHostOf } from '../replication';

/** Longest wait for a peer's answers; milliseconds. */
const DELIVERY_MILLISECONDS = 1000;

/** Messages kept for a peer that is slow; older ones are dropped, since newer ones replace them. */
const QUEUE_LIMIT = 64;

export interface ControlTransportOptions {
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Takes a peer's answers. */
  readonly receive: (batch: GroupEnvelopes) => void;
}

interface Queued {
  readonly group: string;
  readonly envelope: Envelope;
}

/** Messages to one peer that travel one call after the other. */
interface Lane {
  readonly peer: string;
  queue: Queued[];
  sending: boolean;
}

/**
 * Carries replication messages over tRPC. What needs no sync at the peer, so heartbeats above all,
 * travels together for all groups; each group's entries travel by themselves, so that one slow
 * group holds up no other. The peer's answers come back with the call.
 */
export class ControlTransport {
  readonly #options: ControlTransportOptions;
  readonly #lanes = new Map<string, Lane>();
  #stopped = false;

  constructor(options: ControlTransportOptions) {
    this.#options = options;
  }

  /** The transport of one group. */
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

  #send(queued: Queued): void {
    const peer = destinationHostOf(queued.envelope);
    const key = needsNoSync(queued.envelope) ? peer : `${peer} ${queued.group}`;
    const lane = this.#lanes.get(key) ?? { peer, queue: [], sending: false };
    this.#lanes.set(key, lane);
    lane.queue.push(queued);
    if (lane.queue.length > QUEUE_LIMIT) lane.queue.shift();
    if (lane.sending) return;
    lane.sending = true;
    queueMicrotask(() => void this.#drain(lane));
  }

  async #drain(lane: Lane): Promise<void> {
    while (lane.queue.length > 0 && !this.#stopped) {
      const queued = lane.queue;
      lane.queue = [];
      await this.#deliver(lane.peer, byGroup(queued));
    }
    lane.sending = false;
  }

  async #deliver(peer: string, batches: GroupEnvelopes[]): Promise<void> {
    const { client, clock, logger, receive } = this.#options;
    const { controller, cancel } = startTimeout(clock, DELIVERY_MILLISECONDS);
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

function needsNoSync({ message }: Envelope): boolean {
  if (message.kind === 'append') return message.entries.length === 0;
  return message.kind === 'hello' || message.kind === 'append-answer';
}

function byGroup(queued: readonly Queued[]): GroupEnvelopes[] {
  const groups = new Map<string, Envelope[]>();
  for (const { group, envelope } of queued) {
    groups.set(group, [...(groups.get(group) ?? []), envelope]);
  }
  return [...groups].map(([group, envelopes]) => ({ group, envelopes }));
}
