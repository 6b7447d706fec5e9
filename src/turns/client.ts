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
import { type ReserveOptions, type ReserveOutcome, evaluateBudget } from './reservation-budget';
import type { ChainCache } from './chain-cache';
import { rankReplicas } from './replica-ranking';
import type { ChainAnswer, ReservationsAnswer, TurnContract, ViewMismatch } from './contract';
import { TurnsUnavailableError } from './errors';
import type { QuorumMonitor } from './quorum-monitor';
import { type Hedging, type QueryRound, queryInOrder, queryMembers } from './member-queries';
import type { TurnRecord } from './records';

/** Timeout of one call to a store. A sync takes 1 ms, but a disk may stall for seconds. */
const CALL_TIMEOUT_MILLISECONDS = 500;

/** Maximum wait for the remaining stores after a quorum has answered; two round trips. */
const STRAGGLER_WAIT_MILLISECONDS = 12;

/**
 * Delay before a hedged query is sent to further stores. A store answers within 5 ms, and one that
 * has failed silently would delay the turn by the whole timeout.
 */
const HEDGE_DELAY_MILLISECONDS = 25;

const RETRY_DELAY_MILLISECONDS = 40;

/**
 * Reads of a contended budget before the reservation is refused. The first rounds of the competing
 * writers take 15 ms or less.
 */
const CONTENTION_MAX_RETRIES = 4;

const CONTENTION_RETRY_DELAY_MILLISECONDS = 10;

/** Minimum time between two `quorum-missed` log lines. */
const QUORUM_MISSED_LOG_INTERVAL_MILLISECONDS = 1000;

export interface TurnClientOptions {
  readonly availabilityZone: string;
  readonly view: LatestValue<StoreView>;
  readonly cache: ChainCache;
  readonly quorumMonitor: Pick<QuorumMonitor, 'recordSuccess'>;
  readonly peers: RpcClient<TurnContract>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A turn and its ancestors, oldest first. */
export type ChainLookup =
  { readonly kind: 'found'; readonly records: readonly TurnRecord[] } | { readonly kind: 'absent' };

type Reply<Answer> = Answer | ViewMismatch;

/** Reads and writes turns and budgets at a quorum of the current view's stores. */
export class TurnClient {
  readonly #options: TurnClientOptions;
  /** Stores whose last call failed or was late; no round waits for them after its quorum. */
  readonly #unresponsive = new Set<string>();
  readonly #quorumMissedLog: RateLimitedLogLine;

  constructor(options: TurnClientOptions) {
    this.#options = options;
    const { clock, logger } = options;
    const intervalMilliseconds = QUORUM_MISSED_LOG_INTERVAL_MILLISECONDS;
    this.#quorumMissedLog = new RateLimitedLogLine({
      event: 'quorum-missed',
      intervalMilliseconds,
      clock,
      logger,
    });
  }

  /**
   * Reserves a turn's tokens; resolves with whether they fit in the budget. Of concurrent
   * reservations that fit singly but not together, those with the smallest turn ids are granted:
   * they read again until the callers of the refused ones have settled those with 0 tokens.
   */
  async reserve(options: ReserveOptions): Promise<ReserveOutcome> {
    const { clock, metrics } = this.#options;
    let evaluation = evaluateBudget(await this.#writeReservation(options), options);
    for (
      let retry = 0;
      evaluation.kind === 'contended' && retry < CONTENTION_MAX_RETRIES;
      retry += 1
    ) {
      if (clock.monotonic() + CONTENTION_RETRY_DELAY_MILLISECONDS >= options.deadline) break;
      metrics.count('contended_reservations_total');
      await delay(clock, CONTENTION_RETRY_DELAY_MILLISECONDS);
      evaluation = evaluateBudget(await this.#readReservations(options), options);
    }
    return { fits: evaluation.kind === 'fits', committedTokens: evaluation.committedTokens };
  }

  /**
   * Writes a reservation and reads the program's others. If every store has answered, one round
   * suffices: of concurrent writers, the last one sees all others. Otherwise a second round reads
   * again once the reservation is durable at a quorum, so that at least one of two writers sees the
   * other.
   */
  async #writeReservation(options: ReserveOptions): Promise<readonly ReservationsAnswer[]> {
    const { program, turn, maxTokens, deadline } = options;
    const first = await this.#queryQuorum<ReservationsAnswer>({
      deadline,
      stragglerWaitMilliseconds: STRAGGLER_WAIT_MILLISECONDS,
      isCounted: () => true,
      query: (view, { address }) =>
        this.#call(address, 'turns.reserve', { epoch: view.epoch, program, turn, most: maxTokens }),
    });
    const isUnanimous = first.allAnswered && first.answers.every((answer) => answer.complete);
    if (isUnanimous) return first.answers;
    this.#options.metrics.count('reservations_in_two_rounds_total');
    return [...first.answers, ...(await this.#readReservations(options))];
  }

  /** Reads a program's reservations from a quorum of stores that hold all acknowledged data. */
  async #readReservations({
    program,
    deadline,
  }: ReserveOptions): Promise<readonly ReservationsAnswer[]> {
    const { answers } = await this.#queryQuorum<ReservationsAnswer>({
      deadline,
      stragglerWaitMilliseconds: 0,
      isCounted: (answer) => answer.complete,
      query: (view, { address }) =>
        this.#call(address, 'turns.reservations', { epoch: view.epoch, program }),
    });
    return answers;
  }

  /**
   * Reduces the reservation of a turn that is not recorded to the tokens that it generated, 0 if it
   * did not run. Best effort: a store that misses the message keeps counting the reserved maximum.
   */
  settle(program: string, turn: string, tokens: number): void {
    const { view, peers } = this.#options;
    for (const { address } of view.value?.members ?? []) {
      peers.cast(address, 'turns.settle', { program, turn, tokens });
    }
  }

  /**
   * Resolves once a completed turn is durable at a quorum. Writes to the program's preferred
   * replicas first, and to the other stores if one of those is late or fails.
   */
  async record(record: TurnRecord, deadline: number): Promise<void> {
    await this.#queryQuorum<{ readonly kind: 'kept' }>({
      deadline,
      stragglerWaitMilliseconds: 0,
      isCounted: () => true,
      hedge: (view) => ({
        order: this.#responsiveFirst(rankReplicas(view, record.program)),
        initialCount: view.quorum,
        hedgeDelayMilliseconds: HEDGE_DELAY_MILLISECONDS,
      }),
      query: (view, { address }) =>
        this.#call(address, 'turns.record', { epoch: view.epoch, record }),
    });
    this.#options.cache.add(record);
  }

  /** Finds a turn and its ancestors; rejects if no quorum can confirm their presence or absence. */
  async chain(turn: string, program: string, deadline: number): Promise<ChainLookup> {
    const records: TurnRecord[] = [];
    for (let id: string | undefined = turn; id !== undefined;) {
      const cached = this.#options.cache.get(id);
      const fetched: readonly TurnRecord[] =
        cached === undefined ? await this.#fetchChain(id, program, deadline) : [cached];
      if (fetched.length === 0) {
        if (id === turn) return { kind: 'absent' };
        throw new TurnsUnavailableError(`turn ${id}, which ${turn} continues, is not found`);
      }
      records.unshift(...fetched);
      id = records[0]?.previous;
    }
    return { kind: 'found', records };
  }

  /** Resolves with an empty list if a quorum confirms that the turn is absent. */
  async #fetchChain(id: string, program: string, deadline: number): Promise<readonly TurnRecord[]> {
    const { clock, metrics, view } = this.#options;
    metrics.count('chains_fetched_total');
    while (clock.monotonic() < deadline) {
      const currentView = view.value;
      const found =
        currentView === undefined
          ? undefined
          : await this.#fetchChainInView(currentView, id, program);
      if (found !== undefined) return found;
      await delay(clock, RETRY_DELAY_MILLISECONDS);
    }
    throw new TurnsUnavailableError(`too few stores answer for turn ${id}`);
  }

  /** Resolves with `undefined` if the view's stores are inconclusive. */
  #fetchChainInView(
    view: StoreView,
    id: string,
    program: string,
  ): Promise<readonly TurnRecord[] | undefined> {
    const { clock, cache, logger } = this.#options;
    const storesWithoutTurn = new Set<string>();
    return queryInOrder<Reply<ChainAnswer>, readonly TurnRecord[]>({
      members: this.#nearestReplicasFirst(view, program),
      clock,
      hedgeDelayMilliseconds: HEDGE_DELAY_MILLISECONDS,
      query: ({ address }) => this.#call(address, 'turns.chain', { epoch: view.epoch, turn: id }),
      decide: (answer, { name }) => {
        this.#adoptNewerView(answer);
        if (answer.kind !== 'chain') return undefined;
        for (const record of answer.records) cache.add(record);
        if (answer.records.length > 0) return answer.records;
        if (answer.complete) storesWithoutTurn.add(name);
        return storesWithoutTurn.size >= view.quorum ? [] : undefined;
      },
      onFailure: (error, { name }) => {
        logger.info({ event: 'chain-not-read', turn: id, store: name, error: messageOf(error) });
      },
    });
  }

  /** The turn is assumed to belong to `program`, whose preferred replicas then hold it. */
  #nearestReplicasFirst(view: StoreView, program: string): readonly ViewMember[] {
    const members = rankReplicas(view, program);
    const replicas = members.slice(0, view.quorum);
    return [...this.#nearestFirst(replicas), ...this.#nearestFirst(members.slice(view.quorum))];
  }

  #responsiveFirst(members: readonly ViewMember[]): readonly ViewMember[] {
    const isUnresponsive = ({ name }: ViewMember) => Number(this.#unresponsive.has(name));
    return [...members].sort((left, right) => isUnresponsive(left) - isUnresponsive(right));
  }

  #nearestFirst(members: readonly ViewMember[]): readonly ViewMember[] {
    const { availabilityZone, peers } = this.#options;
    const rank = (member: ViewMember) =>
      (peers.isConnected(member.address) ? 0 : 2) +
      (member.availabilityZone === availabilityZone ? 0 : 1);
    return [...members].sort((left, right) => rank(left) - rank(right));
  }

  /** Retries until a quorum of a single view has answered. */
  async #queryQuorum<Answer extends { readonly kind: string }>(options: {
    readonly deadline: number;
    readonly stragglerWaitMilliseconds: number;
    readonly isCounted: (answer: Answer) => boolean;
    /** Without it, all stores are queried at once. */
    readonly hedge?: (view: StoreView) => Hedging;
    readonly query: (view: StoreView, member: ViewMember) => Promise<Reply<Answer>>;
  }): Promise<{ readonly answers: readonly Answer[]; readonly allAnswered: boolean }> {
    const { clock, view: newest, metrics } = this.#options;
    let reason = 'no stores are known';
    for (;;) {
      const view = newest.value;
      if (view !== undefined) {
        const round = await queryMembers<Reply<Answer>>({
          view,
          clock,
          stragglerWaitMilliseconds: options.stragglerWaitMilliseconds,
          isResponsive: ({ name }) => !this.#unresponsive.has(name),
          query: (member) => this.#trackResponsiveness(member, options.query(view, member)),
          isDecided: (answers) =>
            withoutMismatches<Answer>(answers).filter(options.isCounted).length >= view.quorum,
          describeFailure: messageOf,
          hedging: options.hedge?.(view),
        });
        // Without a straggler wait, a pending store may still be about to answer in time.
        if (options.stragglerWaitMilliseconds > 0) {
          for (const name of round.pending) this.#unresponsive.add(name);
        }
        for (const answer of round.answers) this.#adoptNewerView(answer);
        const answers = withoutMismatches<Answer>(round.answers);
        if (answers.filter(options.isCounted).length >= view.quorum) {
          this.#options.quorumMonitor.recordSuccess();
          return { answers, allAnswered: answers.length === view.members.length };
        }
        reason = describeRound(round);
        metrics.count('quorums_missed_total');
        this.#quorumMissedLog.write({ epoch: view.epoch, reason });
      }
      if (clock.monotonic() + RETRY_DELAY_MILLISECONDS >= options.deadline) {
        throw new TurnsUnavailableError(`too few stores answer: ${reason}`);
      }
      await delay(clock, RETRY_DELAY_MILLISECONDS);
    }
  }

  /** Records whether a store answers, also after its round has ended. */
  async #trackResponsiveness<Answer>(
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

  #call<Name extends keyof TurnContract['calls']>(
    address: string,
    name: Name,
    request: TurnContract['calls'][Name]['request'],
  ): Promise<TurnContract['calls'][Name]['answer']> {
    return this.#options.peers.call(address, name, request, CALL_TIMEOUT_MILLISECONDS);
  }

  #adoptNewerView(answer: { readonly kind: string } | ViewMismatch): void {
    if (answer.kind === 'stale' && 'view' in answer) this.#options.view.offer(answer.view);
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
