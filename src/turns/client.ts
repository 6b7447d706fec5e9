import type { LatestValue, StoreView, ViewMember } from '../cluster';
import { type Clock, FoldedLine, type Logger, type Metrics, delay, messageOf } from '../core';
import type { RpcClient } from '../rpc';
import { type ReserveOptions, type ReserveOutcome, judgeBudget } from './budget';
import type { ChainCache } from './chain-cache';
import { holdersFirst } from './copies';
import type { ChainAnswer, ReservationsAnswer, TurnContract, ViewMismatch } from './contract';
import { TurnsUnavailable } from './errors';
import type { StoreWatch } from './store-watch';
import { type Preference, type Round, askInTurn, askMembers } from './quorum';
import type { TurnRecord } from './records';

/** Longest wait for one store; a sync takes 1 ms, a disk may stall for seconds. Milliseconds. */
const ANSWER_MILLISECONDS = 500;

/** Longest wait for all stores once a quorum has answered; twice a round trip. Milliseconds. */
const GRACE_MILLISECONDS = 12;

/**
 * Time after which the next store is asked for a chain too; a store answers in 5 ms, and one that
 * was lost without a word would hold the turn for its whole answer time. Milliseconds.
 */
const STAGGER_MILLISECONDS = 25;

/** Pause before stores are asked again; milliseconds. */
const RETRY_MILLISECONDS = 40;

/** Looks of a reserver that waits for others to withdraw; their first rounds take 15 ms or less. */
const CONTENDED_LOOKS = 4;

/** Pause before each such look: a message there and a sync; milliseconds. */
const CONTENDED_MILLISECONDS = 10;

/** Shortest time between two lines on missed quorums; a request's own line names its reason. */
const MISSED_LINE_MILLISECONDS = 1000;

export interface TurnClientOptions {
  readonly availabilityZone: string;
  readonly view: LatestValue<StoreView>;
  readonly cache: ChainCache;
  readonly watch: Pick<StoreWatch, 'noteSuccess'>;
  readonly peers: RpcClient<TurnContract>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The chain that a turn continues, oldest turn first; or that there is no such turn. */
export type ChainLookup =
  { readonly kind: 'found'; readonly records: readonly TurnRecord[] } | { readonly kind: 'absent' };

type Reply<Answer> = Answer | ViewMismatch;

/** Reads and writes turns and budgets at a quorum of the stores in use. */
export class TurnClient {
  readonly #options: TurnClientOptions;
  /** Stores whose last answer came too late or not at all; no round waits for them. */
  readonly #silent = new Set<string>();
  readonly #missedLine: FoldedLine;

  constructor(options: TurnClientOptions) {
    this.#options = options;
    const { clock, logger } = options;
    const milliseconds = MISSED_LINE_MILLISECONDS;
    this.#missedLine = new FoldedLine({ event: 'quorum-missed', milliseconds, clock, logger });
  }

  /**
   * Reserves a turn's tokens; resolves with whether they fit in the budget. Of several reservations
   * at once that fit singly but not together, those with the smallest names are granted: they look
   * again until the others have withdrawn, which is when their reservers give them back.
   */
  async reserve(options: ReserveOptions): Promise<ReserveOutcome> {
    const { clock, metrics } = this.#options;
    let verdict = judgeBudget(await this.#firstReservations(options), options);
    for (let look = 0; verdict.kind === 'contended' && look < CONTENDED_LOOKS; look += 1) {
      if (clock.monotonic() + CONTENDED_MILLISECONDS >= options.deadline) break;
      metrics.count('contended_reservations_total');
      await delay(clock, CONTENDED_MILLISECONDS);
      verdict = judgeBudget(await this.#readReservations(options), options);
    }
    return { fits: verdict.kind === 'fits', taken: verdict.taken };
  }

  /**
   * Writes a reservation and reads the others. When every store has answered, the last reserver has
   * seen all others. Otherwise a second round is needed: it begins after the reservation stands at
   * a quorum, so of two reservers one sees the other.
   */
  async #firstReservations(options: ReserveOptions): Promise<readonly ReservationsAnswer[]> {
    const { program, turn, most, deadline } = options;
    const first = await this.#atQuorum<ReservationsAnswer>({
      deadline,
      graceMilliseconds: GRACE_MILLISECONDS,
      counts: () => true,
      ask: (view, { address }) =>
        this.#call(address, 'turns.reserve', { epoch: view.epoch, program, turn, most }),
    });
    const unanimous = first.all && first.answers.every((answer) => answer.complete);
    if (unanimous) return first.answers;
    this.#options.metrics.count('reservations_in_two_rounds_total');
    return [...first.answers, ...(await this.#readReservations(options))];
  }

  /** What a quorum of complete stores knows of a program's reservations. */
  async #readReservations({
    program,
    deadline,
  }: ReserveOptions): Promise<readonly ReservationsAnswer[]> {
    const { answers } = await this.#atQuorum<ReservationsAnswer>({
      deadline,
      graceMilliseconds: 0,
      counts: (answer) => answer.complete,
      ask: (view, { address }) =>
        this.#call(address, 'turns.reservations', { epoch: view.epoch, program }),
    });
    return answers;
  }

  /**
   * Tells the stores what a turn that is not kept has generated, 0 if it was not run. A store that
   * misses it counts the most that the turn might have generated.
   */
  settle(program: string, turn: string, tokens: number): void {
    const { view, peers } = this.#options;
    for (const { address } of view.value?.members ?? []) {
      peers.cast(address, 'turns.settle', { program, turn, tokens });
    }
  }

  /**
   * Resolves once a whole turn lasts at a quorum. The program's holders are written to first, the other
   * stores where one of those is late.
   */
  async record(record: TurnRecord, deadline: number): Promise<void> {
    await this.#atQuorum<{ readonly kind: 'kept' }>({
      deadline,
      graceMilliseconds: 0,
      counts: () => true,
      prefer: (view) => ({
        order: this.#answeringFirst(holdersFirst(view, record.program)),
        first: view.quorum,
        staggerMilliseconds: STAGGER_MILLISECONDS,
      }),
      ask: (view, { address }) =>
        this.#call(address, 'turns.record', { epoch: view.epoch, record }),
    });
    this.#options.cache.add(record);
  }

  /** Finds a turn and all that it continues; rejects where that can't be told for certain. */
  async chain(turn: string, program: string, deadline: number): Promise<ChainLookup> {
    const records: TurnRecord[] = [];
    for (let id: string | undefined = turn; id !== undefined;) {
      const cached = this.#options.cache.get(id);
      const fetched: readonly TurnRecord[] =
        cached === undefined ? await this.#fetch(id, program, deadline) : [cached];
      if (fetched.length === 0) {
        if (id === turn) return { kind: 'absent' };
        throw new TurnsUnavailable(`turn ${id}, which ${turn} continues, is not found`);
      }
      records.unshift(...fetched);
      id = records[0]?.previous;
    }
    return { kind: 'found', records };
  }

  /** Nothing if a quorum says that the turn is not there. */
  async #fetch(id: string, program: string, deadline: number): Promise<readonly TurnRecord[]> {
    const { clock, metrics, view } = this.#options;
    metrics.count('chains_fetched_total');
    while (clock.monotonic() < deadline) {
      const present = view.value;
      const found = present === undefined ? undefined : await this.#fetchIn(present, id, program);
      if (found !== undefined) return found;
      await delay(clock, RETRY_MILLISECONDS);
    }
    throw new TurnsUnavailable(`too few stores answer for turn ${id}`);
  }

  /** Asks the stores of a view, the program's holders first; nothing if they can't tell for certain. */
  #fetchIn(
    view: StoreView,
    id: string,
    program: string,
  ): Promise<readonly TurnRecord[] | undefined> {
    const { clock, cache, logger } = this.#options;
    const absentAt = new Set<string>();
    return askInTurn<Reply<ChainAnswer>, readonly TurnRecord[]>({
      members: this.#nearestHoldersFirst(view, program),
      clock,
      staggerMilliseconds: STAGGER_MILLISECONDS,
      ask: ({ address }) => this.#call(address, 'turns.chain', { epoch: view.epoch, turn: id }),
      decide: (answer, { name }) => {
        this.#learn(answer);
        if (answer.kind !== 'chain') return undefined;
        for (const record of answer.records) cache.add(record);
        if (answer.records.length > 0) return answer.records;
        if (answer.complete) absentAt.add(name);
        return absentAt.size >= view.quorum ? [] : undefined;
      },
      onFailure: (error, { name }) => {
        logger.info({ event: 'chain-not-read', turn: id, store: name, error: messageOf(error) });
      },
    });
  }

  /** A turn's holders are those of the program that it belongs to, which most often is the asker's. */
  #nearestHoldersFirst(view: StoreView, program: string): readonly ViewMember[] {
    const members = holdersFirst(view, program);
    const holders = members.slice(0, view.quorum);
    return [...this.#nearestFirst(holders), ...this.#nearestFirst(members.slice(view.quorum))];
  }

  /** Puts the stores last that were late or lost at their last question. */
  #answeringFirst(members: readonly ViewMember[]): readonly ViewMember[] {
    const isSilent = ({ name }: ViewMember) => Number(this.#silent.has(name));
    return [...members].sort((left, right) => isSilent(left) - isSilent(right));
  }

  #nearestFirst(members: readonly ViewMember[]): readonly ViewMember[] {
    const { availabilityZone, peers } = this.#options;
    const rank = (member: ViewMember) =>
      (peers.isConnected(member.address) ? 0 : 2) +
      (member.availabilityZone === availabilityZone ? 0 : 1);
    return [...members].sort((left, right) => rank(left) - rank(right));
  }

  /** Asks until a quorum of one and the same view has answered. */
  async #atQuorum<Answer extends { readonly kind: string }>(options: {
    readonly deadline: number;
    readonly graceMilliseconds: number;
    readonly counts: (answer: Answer) => boolean;
    /** Which stores are asked first; all at once where it is left out. */
    readonly prefer?: (view: StoreView) => Preference;
    readonly ask: (view: StoreView, member: ViewMember) => Promise<Reply<Answer>>;
  }): Promise<{ readonly answers: readonly Answer[]; readonly all: boolean }> {
    const { clock, view: newest, metrics } = this.#options;
    let reason = 'no stores are known';
    for (;;) {
      const view = newest.value;
      if (view !== undefined) {
        const round = await askMembers<Reply<Answer>>({
          view,
          clock,
          graceMilliseconds: options.graceMilliseconds,
          isExpected: ({ name }) => !this.#silent.has(name),
          ask: (member) => this.#listen(member, options.ask(view, member)),
          isEnough: (answers) =>
            accepted<Answer>(answers).filter(options.counts).length >= view.quorum,
          describeFailure: messageOf,
          preference: options.prefer?.(view),
        });
        // Without a grace a round ends before the slowest store could answer.
        if (options.graceMilliseconds > 0) {
          for (const name of round.waiting) this.#silent.add(name);
        }
        for (const answer of round.answers) this.#learn(answer);
        const answers = accepted<Answer>(round.answers);
        if (answers.filter(options.counts).length >= view.quorum) {
          this.#options.watch.noteSuccess();
          return { answers, all: answers.length === view.members.length };
        }
        reason = describe(round);
        metrics.count('quorums_missed_total');
        this.#missedLine.note({ epoch: view.epoch, reason });
      }
      if (clock.monotonic() + RETRY_MILLISECONDS >= options.deadline) {
        throw new TurnsUnavailable(`too few stores answer: ${reason}`);
      }
      await delay(clock, RETRY_MILLISECONDS);
    }
  }

  /** Notes whether a store answers, also where nobody waits for it any more. */
  async #listen<Answer>(member: ViewMember, answering: Promise<Answer>): Promise<Answer> {
    try {
      const answer = await answering;
      this.#silent.delete(member.name);
      return answer;
    } catch (error) {
      this.#silent.add(member.name);
      throw error;
    }
  }

  #call<Name extends keyof TurnContract['calls']>(
    address: string,
    name: Name,
    request: TurnContract['calls'][Name]['request'],
  ): Promise<TurnContract['calls'][Name]['answer']> {
    return this.#options.peers.call(address, name, request, ANSWER_MILLISECONDS);
  }

  #learn(answer: { readonly kind: string } | ViewMismatch): void {
    if (answer.kind === 'stale' && 'view' in answer) this.#options.view.offer(answer.view);
  }
}

function accepted<Answer extends { readonly kind: string }>(
  answers: readonly Reply<Answer>[],
): readonly Answer[] {
  return answers.filter(
    (answer): answer is Answer => answer.kind !== 'stale' && answer.kind !== 'behind',
  );
}

function describe<Answer extends { readonly kind: string }>(round: Round<Answer>): string {
  const kinds = round.answers.map(({ kind }) => kind).join(', ');
  return [kinds, ...round.failures].filter((part) => part !== '').join('; ');
}
