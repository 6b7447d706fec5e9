import type { LatestValue, StoreView, ViewMember } from '../cluster';
import {
  type Clock,
  RateLimitedLogLine,
  type Logger,
  type Metrics,
  delay,
  messageOf,
} from '../core';
import type { RpcClient } from '../rpc';
import type { TurnContract, ViewMismatch } from './contract';
import { TurnsUnavailableError } from './errors';
import { type Hedging, type QueryRound, queryMembers } from './member-queries';
import type { QuorumMonitor } from './quorum-monitor';
import { ReplicaRanker } from './replica-ranking';

/** Timeout of one call to a store. A sync takes 1 ms, but a disk may stall for seconds. */
const CALL_TIMEOUT_MILLISECONDS = 500;

/**
 * Delay before a hedged query is sent to further stores. A store answers within 5 ms, and one that
 * has failed silently would delay the turn by the whole timeout.
 */
export const HEDGE_DELAY_MILLISECONDS = 25;

/** Delay before a query that was inconclusive in one view is repeated. */
export const RETRY_DELAY_MILLISECONDS = 40;

/** Minimum time between two `quorum-missed` log lines. */
const QUORUM_MISSED_LOG_INTERVAL_MILLISECONDS = 1000;

/** Time for which a store is taken to be without memory after it has said so. */
const STORE_FULL_MILLISECONDS = 2000;

interface LimitedStore {
  /** Size up to which it has memory for another turn; bytes. */
  readonly largestTurnBytes: number;
  /** Monotonic time; milliseconds. */
  readonly at: number;
}

export interface StoreQueriesOptions {
  readonly view: LatestValue<StoreView>;
  readonly quorumMonitor: Pick<QuorumMonitor, 'recordSuccess'>;
  readonly peers: RpcClient<TurnContract>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export type Reply<Answer> = Answer | ViewMismatch;

export interface QuorumQueryOptions<Answer> {
  readonly deadline: number;
  /** Whether an answer counts towards the quorum; all do by default. */
  readonly isCounted?: (answer: Answer) => boolean;
  /** Without it, all stores are queried at once. */
  readonly hedge?: (view: StoreView) => Hedging;
  readonly query: (view: StoreView, member: ViewMember) => Promise<Reply<Answer>>;
  /** Whether another round may have another outcome; asked after each, true by default. */
  readonly mayRetry?: () => boolean;
}

/** Calls of one gateway to the stores of the current view. */
export class StoreQueries {
  readonly #options: StoreQueriesOptions;
  /** Stores whose last call failed or was late. */
  readonly #unresponsive = new Set<string>();
  /** Stores whose last answer said that they have memory for turns of limited size only. */
  readonly #limited = new Map<string, LimitedStore>();
  readonly #ranker = new ReplicaRanker();
  readonly #quorumMissedLog: RateLimitedLogLine;

  constructor(options: StoreQueriesOptions) {
    this.#options = options;
    const { clock, logger } = options;
    this.#quorumMissedLog = new RateLimitedLogLine({
      event: 'quorum-missed',
      intervalMilliseconds: QUORUM_MISSED_LOG_INTERVAL_MILLISECONDS,
      clock,
      logger,
    });
  }

  get view(): StoreView | undefined {
    return this.#options.view.value;
  }

  rank(view: StoreView, program: string): readonly ViewMember[] {
    return this.#ranker.rank(view, program);
  }

  async call<Name extends keyof TurnContract['calls']>(
    { name: store, address }: ViewMember,
    name: Name,
    request: TurnContract['calls'][Name]['request'],
  ): Promise<TurnContract['calls'][Name]['answer']> {
    const { peers } = this.#options;
    const answer = await peers.call(address, name, request, CALL_TIMEOUT_MILLISECONDS);
    if (answer.kind === 'reservations' || answer.kind === 'kept')
      this.#noteLimit(store, answer.largestTurnBytes);
    return answer;
  }

  /** Records that a store has refused a turn of this size. */
  noteRefusal({ name }: ViewMember, bytes: number): void {
    this.#noteLimit(name, bytes - 1);
  }

  /** Whether a quorum of the stores has lately had memory for a turn of this size. */
  hasRoomFor(bytes: number): boolean {
    const { view } = this;
    if (view === undefined || this.#limited.size === 0) return true;
    const since = this.#options.clock.monotonic() - STORE_FULL_MILLISECONDS;
    const isFull = ({ name }: ViewMember) => {
      const limited = this.#limited.get(name);
      return limited !== undefined && limited.at > since && limited.largestTurnBytes < bytes;
    };
    const fullCount = view.members.filter(isFull).length;
    return view.members.length - fullCount >= view.quorum;
  }

  #noteLimit(store: string, largestTurnBytes: number | undefined): void {
    if (largestTurnBytes === undefined) this.#limited.delete(store);
    else this.#limited.set(store, { largestTurnBytes, at: this.#options.clock.monotonic() });
  }

  /** Reports that a quorum of the current view has answered. */
  recordQuorum(): void {
    this.#options.quorumMonitor.recordSuccess();
  }

  adoptNewerView(answer: { readonly kind: string } | ViewMismatch): void {
    if (answer.kind === 'stale' && 'view' in answer) this.#options.view.offer(answer.view);
  }

  isResponsive({ name }: ViewMember): boolean {
    return !this.#unresponsive.has(name);
  }

  /** Applies until the store answers again. */
  markUnresponsive({ name }: ViewMember): void {
    this.#unresponsive.add(name);
  }

  responsiveFirst(members: readonly ViewMember[]): readonly ViewMember[] {
    const rank = (member: ViewMember) => Number(!this.isResponsive(member));
    return [...members].sort((left, right) => rank(left) - rank(right));
  }

  /** Records whether a store answers, also after its round has ended. */
  async trackResponsiveness<Answer>(
    member: ViewMember,
    pendingAnswer: Promise<Answer>,
  ): Promise<Answer> {
    try {
      const answer = await pendingAnswer;
      this.#unresponsive.delete(member.name);
      return answer;
    } catch (error) {
      this.#unresponsive.add(member.name);
      throw error;
    }
  }

  /** Retries until a quorum of a single view has answered; resolves with all its answers. */
  async queryQuorum<Answer extends { readonly kind: string }>(
    options: QuorumQueryOptions<Answer>,
  ): Promise<readonly Answer[]> {
    const { clock, metrics } = this.#options;
    const { deadline, isCounted = () => true, hedge, query, mayRetry = () => true } = options;
    let reason = 'no stores are known';
    for (;;) {
      const { view } = this;
      if (view !== undefined) {
        const hasQuorum = (answers: readonly Reply<Answer>[]) =>
          withoutMismatches<Answer>(answers).filter(isCounted).length >= view.quorum;
        const round = await queryMembers<Reply<Answer>>({
          view,
          clock,
          query: (member) => this.trackResponsiveness(member, query(view, member)),
          isDecided: hasQuorum,
          describeFailure: messageOf,
          hedging: hedge?.(view),
        });
        for (const answer of round.answers) this.adoptNewerView(answer);
        if (hasQuorum(round.answers)) {
          this.recordQuorum();
          return withoutMismatches<Answer>(round.answers);
        }
        reason = describeRound(round);
        metrics.count('quorums_missed_total');
        this.#quorumMissedLog.write({ epoch: view.epoch, reason });
      }
      if (!mayRetry() || clock.monotonic() + RETRY_DELAY_MILLISECONDS >= deadline) {
        throw new TurnsUnavailableError(`too few stores answer: ${reason}`);
      }
      await delay(clock, RETRY_DELAY_MILLISECONDS);
    }
  }
}

function withoutMismatches<Answer extends { readonly kind: string }>(
  answers: readonly Reply<Answer>[],
): readonly Answer[] {
  return answers.filter(
    (answer): answer is Answer => answer.kind !== 'stale' && answer.kind !== 'behind',
  );
}

function describeRound<Answer extends { readonly kind: string }>(
  round: QueryRound<Answer>,
): string {
  const kinds = round.answers.map(({ kind }) => kind).join(', ');
  return [kinds, ...round.failures].filter((part) => part !== '').join('; ');
}
