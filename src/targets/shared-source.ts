import type { NodeDirectory, NodeInfo } from '../cluster';
import { type Clock, type Logger, type Metrics, digestText, messageOf } from '../core';
import type { CallHandlers, Caller, Contract } from '../link';
import { pickCoordinator } from './coordinator';
import { type ListChanges, applyChanges, changesBetween, sortTargets } from './list-changes';
import type { ListedTarget, TargetSource } from './target';

/**
 * Age from which a list that another process read is not taken any more; twice the pause between
 * two readings. Milliseconds.
 */
const LONGEST_AGE_MILLISECONDS = 1400;

/** Longest wait for another gateway's list; milliseconds. */
const ANSWER_MILLISECONDS = 200;

/**
 * Earlier lists that a reader remembers, so that it can tell what has changed since. Askers come every
 * 700 ms, and a list seldom changes more than once a second.
 */
const REMEMBERED_LISTS = 8;

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
    }
  /** What has changed since the list that the asker holds. */
  | {
      readonly kind: 'changes';
      readonly ageMilliseconds: number;
      /** Digest of the list after the changes. */
      readonly digest: string;
      readonly changes: ListChanges;
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
 * themselves where it has nothing fresh to tell. They are told what has changed; told whole at each
 * change, a list of 3,000 targets cost the reader 6.5 MB a second with 300 hosts.
 */
export class SharedTargetSource implements TargetSource {
  readonly #options: SharedTargetSourceOptions;
  #held: HeldList | undefined;
  /** Lists that were held lately, by their digests, the newest last. */
  readonly #earlier = new Map<string, readonly ListedTarget[]>();
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
    const list = this.#listOf(answer);
    if (list === undefined) return undefined;
    const digest = answer.kind === 'same' ? (this.#held?.digest ?? '') : answer.digest;
    this.#hold({ list, digest, readAt });
    return list;
  }

  /** The list that an answer stands for; nothing, and nothing held, where its changes do not fit. */
  #listOf(answer: Exclude<TargetListAnswer, { kind: 'none' }>): HeldList['list'] | undefined {
    if (answer.kind === 'list') return answer.list;
    if (this.#held === undefined || answer.kind === 'same') return this.#held?.list;
    const list = applyChanges(this.#held.list, answer.changes);
    if (digestOf(list) === answer.digest) return list;
    this.#options.logger.warn({ event: 'target-changes-unfit', digest: answer.digest });
    this.#held = undefined;
    return undefined;
  }

  #hold(held: HeldList): void {
    this.#held = held;
    this.#earlier.delete(held.digest);
    this.#earlier.set(held.digest, held.list);
    for (const digest of this.#earlier.keys()) {
      if (this.#earlier.size <= REMEMBERED_LISTS) break;
      this.#earlier.delete(digest);
    }
  }

  /** Reads the platform's list, not more often than `readers` processes may together. */
  async #read(readers: number): Promise<readonly ListedTarget[]> {
    const { source, callsPerSecond, clock, metrics } = this.#options;
    const readAt = clock.monotonic();
    const pause = (readers * 1000) / (callsPerSecond * RATE_SHARE);
    if (this.#held !== undefined && readAt - this.#startedAt < pause) return this.#held.list;
    this.#startedAt = readAt;
    metrics.count('target_lists_read_total');
    const list = sortTargets(await source.list());
    this.#hold({ list, digest: digestOf(list), readAt });
    return list;
  }

  #answer(digest: string): TargetListAnswer {
    if (this.#held === undefined) return { kind: 'none' };
    const { list, digest: present, readAt } = this.#held;
    const ageMilliseconds = this.#options.clock.monotonic() - readAt;
    if (present === digest) return { kind: 'same', ageMilliseconds };
    const earlier = this.#earlier.get(digest);
    if (earlier === undefined) return { kind: 'list', ageMilliseconds, digest: present, list };
    const changes = changesBetween(earlier, list);
    return { kind: 'changes', ageMilliseconds, digest: present, changes };
  }
}

function digestOf(list: readonly ListedTarget[]): string {
  return digestText(JSON.stringify(list));
}
