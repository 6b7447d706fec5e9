import type { NodeDirectory, NodeInfo } from '../cluster';
import { type Clock, type Logger, type Metrics, digestText, messageOf } from '../core';
import type { CallHandlers, RpcClient, RpcContract } from '../rpc';
import { selectCoordinator } from './coordinator';
import { type ListChanges, applyChanges, changesBetween, sortTargets } from './list-changes';
import type { ListedTarget, TargetSource } from './target';

/** Maximum age of a list from another gateway; twice the interval between reads. */
const MAXIMUM_LIST_AGE_MILLISECONDS = 1400;

const ANSWER_TIMEOUT_MILLISECONDS = 200;

/**
 * Previous lists that are kept, from which the changes for other gateways are computed. Gateways ask
 * every 700 ms, and a list seldom changes more than once per second.
 */
const PREVIOUS_LIST_LIMIT = 8;

/** Share of the platform's rate limit that is used; the rest is for further pages of a list. */
const USED_RATE_SHARE = 0.6;

export interface TargetListRequest {
  /** Digest of the list that the requesting gateway has; empty without a list. */
  readonly digest: string;
}

/** List of targets of another gateway, with the time since it was read from the platform. */
export type TargetListAnswer =
  | { readonly kind: 'none' }
  | { readonly kind: 'same'; readonly ageMilliseconds: number }
  | {
      readonly kind: 'list';
      readonly ageMilliseconds: number;
      readonly digest: string;
      readonly list: readonly ListedTarget[];
    }
  /** Changes since the list that the requesting gateway has. */
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
  readonly casts: RpcContract['casts'];
}

export interface SharedTargetSourceOptions {
  readonly self: NodeInfo;
  readonly directory: NodeDirectory;
  /** Reads the platform's list. */
  readonly source: TargetSource;
  readonly peers: Pick<RpcClient<TargetListContract>, 'call' | 'isConnected'>;
  /** Rate limit of the platform for the reads of all processes together. */
  readonly callsPerSecond: number;
  /** Whether one gateway reads on behalf of all; otherwise each reads for itself. */
  readonly sharesReading?: boolean;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface CachedList {
  readonly list: readonly ListedTarget[];
  readonly digest: string;
  /** Monotonic time of the read from the platform or slightly earlier; milliseconds. */
  readonly readAt: number;
}

/**
 * Lets the coordinator read the platform's list on behalf of all gateways. The others fetch it from
 * the coordinator and read the platform's list themselves if the coordinator has no recent one.
 * Only changes are sent to a gateway that has a previous list: complete lists of 3,000 targets cost
 * the coordinator 6.5 MB per second with 300 hosts.
 */
export class SharedTargetSource implements TargetSource {
  readonly #options: SharedTargetSourceOptions;
  #cached: CachedList | undefined;
  /** Recent lists by digest, latest last. */
  readonly #previousLists = new Map<string, readonly ListedTarget[]>();
  /** Monotonic start time of this process's last read from the platform; milliseconds. */
  #lastReadAt = -Infinity;
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
    const reader = selectCoordinator(this.#options);
    if (reader.name !== this.#reader) this.#setReader(reader.name);
    if (reader.name === self.name) return this.#read(1);
    const fetched = await this.#fetchFrom(reader);
    return fetched ?? this.#read(directory.ofKind('gateway').length);
  }

  #setReader(name: string): void {
    this.#reader = name;
    this.#options.logger.info({ event: 'target-list-reader', reader: name });
  }

  /** Fetches the list of another gateway; undefined if it has no recent one. */
  async #fetchFrom({ address, name }: NodeInfo): Promise<readonly ListedTarget[] | undefined> {
    const { peers, clock, logger } = this.#options;
    const requestedAt = clock.monotonic();
    const digest = this.#cached?.digest ?? '';
    try {
      const answer = await peers.call(
        address,
        'targets.list',
        { digest },
        ANSWER_TIMEOUT_MILLISECONDS,
      );
      return this.#accept(answer, requestedAt);
    } catch (error) {
      const reason = messageOf(error);
      logger.debug({ event: 'target-list-not-told', reader: name, error: reason });
      return undefined;
    }
  }

  #accept(answer: TargetListAnswer, requestedAt: number): readonly ListedTarget[] | undefined {
    if (answer.kind === 'none') return undefined;
    const readAt = requestedAt - answer.ageMilliseconds;
    if (this.#options.clock.monotonic() - readAt > MAXIMUM_LIST_AGE_MILLISECONDS) return undefined;
    const list = this.#resolveList(answer);
    if (list === undefined) return undefined;
    const digest = answer.kind === 'same' ? (this.#cached?.digest ?? '') : answer.digest;
    this.#store({ list, digest, readAt });
    return list;
  }

  /**
   * Returns the list of an answer. If its changes don't apply to the cached list, drops that one
   * and returns undefined.
   */
  #resolveList(
    answer: Exclude<TargetListAnswer, { kind: 'none' }>,
  ): CachedList['list'] | undefined {
    if (answer.kind === 'list') return answer.list;
    if (this.#cached === undefined || answer.kind === 'same') return this.#cached?.list;
    const list = applyChanges(this.#cached.list, answer.changes);
    if (digestOf(list) === answer.digest) return list;
    this.#options.logger.warn({ event: 'target-changes-unfit', digest: answer.digest });
    this.#cached = undefined;
    return undefined;
  }

  #store(cached: CachedList): void {
    this.#cached = cached;
    this.#previousLists.delete(cached.digest);
    this.#previousLists.set(cached.digest, cached.list);
    for (const digest of this.#previousLists.keys()) {
      if (this.#previousLists.size <= PREVIOUS_LIST_LIMIT) break;
      this.#previousLists.delete(digest);
    }
  }

  /**
   * Reads the platform's list, at this process's part of the rate limit if `readers` processes
   * read.
   */
  async #read(readers: number): Promise<readonly ListedTarget[]> {
    const { source, callsPerSecond, clock, metrics } = this.#options;
    const readAt = clock.monotonic();
    const pause = (readers * 1000) / (callsPerSecond * USED_RATE_SHARE);
    if (this.#cached !== undefined && readAt - this.#lastReadAt < pause) return this.#cached.list;
    this.#lastReadAt = readAt;
    metrics.count('target_lists_read_total');
    const list = sortTargets(await source.list());
    this.#store({ list, digest: digestOf(list), readAt });
    return list;
  }

  #answer(digest: string): TargetListAnswer {
    if (this.#cached === undefined) return { kind: 'none' };
    const { list, digest: current, readAt } = this.#cached;
    const ageMilliseconds = this.#options.clock.monotonic() - readAt;
    if (current === digest) return { kind: 'same', ageMilliseconds };
    const previous = this.#previousLists.get(digest);
    if (previous === undefined) return { kind: 'list', ageMilliseconds, digest: current, list };
    const changes = changesBetween(previous, list);
    return { kind: 'changes', ageMilliseconds, digest: current, changes };
  }
}

function digestOf(list: readonly ListedTarget[]): string {
  return digestText(JSON.stringify(list));
}
