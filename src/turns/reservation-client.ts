import type { ViewMember } from '../cluster';
import {
  type Clock,
  RateLimitedLogLine,
  type Logger,
  type Metrics,
  delay,
  messageOf,
} from '../core';
import type { ReservationsAnswer, ReserveRequest } from './contract';
import { queryUnanimously } from './member-queries';
import {
  type ReserveOptions,
  type ReserveOutcome,
  type StoredReservations,
  evaluateBudget,
  findLackingStores,
  seesSpreadReservation,
} from './reservation-budget';
import { HEDGE_DELAY_MILLISECONDS, type Reply, type StoreQueries } from './store-queries';

/**
 * Reads of a contended budget before the reservation is refused. The first rounds of the competing
 * writers take 15 ms or less.
 */
const CONTENTION_MAX_RETRIES = 4;

const CONTENTION_RETRY_DELAY_MILLISECONDS = 10;

/** Minimum time between two `reservation-spread` log lines. */
const SPREAD_LOG_INTERVAL_MILLISECONDS = 1000;

export interface ReservationClientOptions {
  readonly stores: StoreQueries;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Why a reservation can't be decided by the program's preferred replicas alone. */
type SpreadReason =
  'no-view' | 'unresponsive' | 'late' | 'failed' | 'other-view' | 'incomplete' | 'marked';

type PreferredRound =
  | { readonly kind: 'decided'; readonly answers: readonly StoredReservations[] }
  | {
      readonly kind: 'inconclusive';
      readonly reason: SpreadReason;
      readonly store?: string | undefined;
    };

/**
 * Reserves tokens in budgets. Of any concurrent reservations that are granted, one must have seen
 * all others, so that its own sum bounds theirs:
 *
 * - A reservation that is decided in one round was written to all preferred replicas and saw no
 *   undecided mark there. Of several such reservations, the last one at a replica sees all others.
 * - Any other reservation is written to all stores with a mark, and read again once it is durable
 *   at a quorum of complete ones. Of several such reservations, the last one that reached its
 *   quorum sees all others.
 * - A quorum includes a preferred replica. There, either the marked reservation sees the other one,
 *   or the other one sees the mark and does not end in one round.
 *
 * The answers to the writes therefore count in every later evaluation. A mark may be ignored only
 * if all preferred replicas hold its reservation as settled: all writes then follow its decision.
 */
export class ReservationClient {
  readonly #options: ReservationClientOptions;
  readonly #spreadLog: RateLimitedLogLine;

  constructor(options: ReservationClientOptions) {
    this.#options = options;
    const { clock, logger } = options;
    this.#spreadLog = new RateLimitedLogLine({
      event: 'reservation-spread',
      intervalMilliseconds: SPREAD_LOG_INTERVAL_MILLISECONDS,
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
    const written = await this.#write(options);
    this.#repair(written, options);
    let evaluation = evaluateBudget(written, options);
    for (
      let retry = 0;
      evaluation.kind === 'contended' && retry < CONTENTION_MAX_RETRIES;
      retry += 1
    ) {
      if (clock.monotonic() + CONTENTION_RETRY_DELAY_MILLISECONDS >= options.deadline) break;
      metrics.count('contended_reservations_total');
      await delay(clock, CONTENTION_RETRY_DELAY_MILLISECONDS);
      evaluation = evaluateBudget([...written, ...(await this.#read(options))], options);
    }
    const { kind, committedTokens, holders } = evaluation;
    return { fits: kind === 'fits', committedTokens, holders };
  }

  async #write(options: ReserveOptions): Promise<readonly StoredReservations[]> {
    const round = await this.#writeToPreferredReplicas(options);
    if (round.kind === 'decided') return round.answers;
    const { program, turn } = options;
    const { reason, store } = round;
    this.#options.metrics.count(`reservations_in_two_rounds_total{reason="${reason}"}`);
    this.#spreadLog.write({ program, turn, reason, store });
    const written = await this.#writeToAll(options);
    return [...written, ...(await this.#read(options))];
  }

  /**
   * Writes reservations that a store lacks to it. Stores expire budgets by what they hold: without
   * it, a store that took part only before or only after a failure would expire the rest of a
   * budget that other stores may lose.
   */
  #repair(
    answers: readonly StoredReservations[],
    { program, turn, maxTokens }: ReserveOptions,
  ): void {
    const { stores, logger, metrics } = this.#options;
    const { view } = stores;
    if (view === undefined) return;
    for (const { store, lacking } of findLackingStores(answers)) {
      metrics.count('reservations_repaired_total', lacking.length);
      const subject = { program, turn, store: store.name, lacking: lacking.length };
      logger.info({ event: 'reservations-repaired', ...subject });
      const request = { epoch: view.epoch, program, turn, most: maxTokens, others: lacking };
      stores.call(store, 'turns.reserve', request).catch((error: unknown) => {
        logger.info({ event: 'reservations-not-repaired', ...subject, error: messageOf(error) });
      });
    }
  }

  async #reserveAt(store: ViewMember, request: ReserveRequest): Promise<Reply<StoredReservations>> {
    return withStore(await this.#options.stores.call(store, 'turns.reserve', request), store);
  }

  async #writeToPreferredReplicas(options: ReserveOptions): Promise<PreferredRound> {
    const { stores, clock } = this.#options;
    const { program, turn, maxTokens } = options;
    const { view } = stores;
    if (view === undefined) return { kind: 'inconclusive', reason: 'no-view' };
    const replicas = stores.rank(view, program).slice(0, view.quorum);
    const unresponsive = replicas.find((replica) => !stores.isResponsive(replica));
    if (unresponsive !== undefined) {
      return { kind: 'inconclusive', reason: 'unresponsive', store: unresponsive.name };
    }
    const request = { epoch: view.epoch, program, turn, most: maxTokens };
    const round = await queryUnanimously<Reply<StoredReservations>>({
      members: replicas,
      clock,
      timeLimitMilliseconds: HEDGE_DELAY_MILLISECONDS,
      query: (replica) => stores.trackResponsiveness(replica, this.#reserveAt(replica, request)),
      isAccepted: (answer) => answer.kind === 'reservations' && answer.complete,
    });
    if (round.kind === 'late') {
      for (const replica of round.pending) stores.markUnresponsive(replica);
      return { kind: 'inconclusive', reason: 'late', store: namesOf(round.pending) };
    }
    if (round.kind === 'failed') {
      return { kind: 'inconclusive', reason: 'failed', store: round.member.name };
    }
    if (round.kind === 'rejected') {
      stores.adoptNewerView(round.answer);
      const reason = round.answer.kind === 'reservations' ? 'incomplete' : 'other-view';
      return { kind: 'inconclusive', reason, store: round.member.name };
    }
    const answers = round.answers.filter((answer) => answer.kind === 'reservations');
    if (seesSpreadReservation(answers, turn)) return { kind: 'inconclusive', reason: 'marked' };
    stores.recordQuorum();
    return { kind: 'decided', answers };
  }

  #writeToAll(options: ReserveOptions): Promise<readonly StoredReservations[]> {
    const { stores } = this.#options;
    const { program, turn, maxTokens, deadline } = options;
    return stores.queryQuorum<StoredReservations>({
      deadline,
      isCounted: (answer) => answer.complete,
      query: ({ epoch }, member) => {
        const request = { epoch, program, turn, most: maxTokens, spread: true } as const;
        return this.#reserveAt(member, request);
      },
    });
  }

  /** Reads a program's reservations from a quorum of stores that hold all acknowledged data. */
  #read({ program, deadline }: ReserveOptions): Promise<readonly StoredReservations[]> {
    const { stores } = this.#options;
    return stores.queryQuorum<StoredReservations>({
      deadline,
      isCounted: (answer) => answer.complete,
      query: async ({ epoch }, member) => {
        const request = { epoch, program };
        return withStore(await stores.call(member, 'turns.reservations', request), member);
      },
    });
  }
}

function withStore(
  answer: Reply<ReservationsAnswer>,
  store: ViewMember,
): Reply<StoredReservations> {
  return answer.kind === 'reservations' ? { ...answer, store } : answer;
}

function namesOf(members: readonly ViewMember[]): string {
  return members.map(({ name }) => name).join(', ');
}
