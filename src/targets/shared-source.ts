import type { NodeDirectory, NodeInfo } from '../cluster';
import { type Clock, type Logger, type Metrics, digestText, messageOf } from '../core';
import type { CallHandlers, Caller, Contract } from '../link';
import { pickCoordinator } from './coordinator';
import type { ListedTarget, TargetSource } from './target';

/**
 * Age from which a list that another process read is not taken any more; twice the pause between
 * two readings. Milliseconds.
 */
const LONGEST_AGE_MILLISECONDS = 1400;

/** Longest wait for another gateway's list; milliseconds. */
const ANSWER_MILLISECONDS = 200;

/** Share of the platform's rate that is used; the rest is left for further pages. */
const RATE_SHARE = 0.6;

export interface TargetListRequest {
  /** Digest of the list that the asker holds. */
  readonly digest: string;
}

/** What a gateway has read of the platform's list, and how long ago. */
export type TargetListAnswer =
  | { readonly kind: 'none' }
  | { readonly kind: 'same'; readonly ageMilliseconds: number }
  | {
      readonly kind: 'list';
      readonly ageMilliseconds: number;
      readonly digest: string;
      readonly list: readonly ListedTarget[];
    };

export interface TargetListContract {
  readonly calls: {
    readonly 'targets.list': {
      readonly request: TargetListRequest;
      readonly answer: TargetListAnswer;
    };
  };
  readonly casts: Contract['casts'];
}

export interface SharedTargetSourceOptions {
  readonly self: NodeInfo;
  readonly directory: NodeDirectory;
  /** The platform's own list. */
  readonly source: TargetSource;
  readonly peers: Pick<Caller<TargetListContract>, 'call' | 'isConnected'>;
  /** Readings that the platform takes from all processes together. */
  readonly callsPerSecond: number;
  /** Whether one gateway reads for all; each for itself otherwise. */
  readonly sharesReading?: boolean;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface HeldList {
  readonly list: readonly ListedTarget[];
  readonly digest: string;
  /** Monotonic time at which it was read from the platform, or somewhat before; milliseconds. */
  readonly readAt: number;
}

/**
 * The platform's list, read by one gateway for all: the first by name of those that keep the
 * cluster's state, to which every process has a connection. The others ask that one, and read for
 * themselves where it has nothing fresh to tell.
 */
export class SharedTargetSource implements TargetSource {
  readonly #options: SharedTargetSourceOptions;
  #held: HeldList | undefined;
  /** Monotonic time at which this process began its last reading of its own; milliseconds. */
  #startedAt = -Infinity;
  #reader: string | undefined;

  constructor(options: SharedTargetSourceOptions) {
    this.#options = options;
  }

  get calls(): CallHandlers<TargetListContract> {
    return { 'targets.list': ({ digest }) => this.#answer(digest) };
  }

  async list(): Promise<readonly ListedTarget[]> {
    const { self, directory, sharesReading = true } = this.#options;
    if (!sharesReading) return this.#read(directory.ofKind('gateway').length);
    const reader = pickCoordinator(this.#options);
    if (reader.name !== this.#reader) this.#noteReader(reader.name);
    if (reader.name === self.name) return this.#read(1);
    const told = await this.#ask(reader);
    return told ?? this.#read(directory.ofKind('gateway').length);
  }

  #noteReader(name: string): void {
    this.#reader = name;
    this.#options.logger.info({ event: 'target-list-reader', reader: name });
  }

  /** Asks another gateway; nothing if it has no list that is fresh enough. */
  async #ask({ address, name }: NodeInfo): Promise<readonly ListedTarget[] | undefined> {
    const { peers, clock, logger } = this.#options;
    const askedAt = clock.monotonic();
    const digest = this.#held?.digest ?? '';
    try {
      const answer = await peers.call(address, 'targets.list', { digest }, ANSWER_MILLISECONDS);
      return this.#take(answer, askedAt);
    } catch (error) {
      const reason = messageOf(error);
      logger.debug({ event: 'target-list-not-told', reader: name, error: reason });
      return undefined;
    }
  }

  #take(answer: TargetListAnswer, askedAt: number): readonly ListedTarget[] | undefined {
    if (answer.kind === 'none') return undefined;
    const readAt = askedAt - answer.ageMilliseconds;
    if (this.#options.clock.monotonic() - readAt > LONGEST_AGE_MILLISECONDS) return undefined;
    if (answer.kind === 'list') this.#held = { list: answer.list, digest: answer.digest, readAt };
    else if (this.#held !== undefined) this.#held = { ...this.#held, readAt };
    return this.#held?.list;
  }

  /** Reads the platform's list, not more often than `readers` processes may together. */
  async #read(readers: number): Promise<readonly ListedTarget[]> {
    const { source, callsPerSecond, clock, metrics } = this.#options;
    const readAt = clock.monotonic();
    const pause = (readers * 1000) / (callsPerSecond * RATE_SHARE);
    if (this.#held !== undefined && readAt - this.#startedAt < pause) return this.#held.list;
    this.#startedAt = readAt;
    metrics.count('target_lists_read_total');
    const list = await source.list();
    this.#held = { list, digest: digestText(JSON.stringify(list)), readAt };
    return list;
  }

  #answer(digest: string): TargetListAnswer {
    if (this.#held === undefined) return { kind: 'none' };
    const { list, digest: present, readAt } = this.#held;
    const ageMilliseconds = this.#options.clock.monotonic() - readAt;
    if (present === digest) return { kind: 'same', ageMilliseconds };
    return { kind: 'list', ageMilliseconds, digest: present, list };
  }
}
