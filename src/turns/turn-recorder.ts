import type { StoreView, ViewMember } from '../cluster';
import { type Clock, type Logger, type Metrics, delay, messageOf } from '../core';
import type { RecordAnswer } from './contract';
import { TurnsUnavailableError } from './errors';
import { SMALL_TURN_BYTES, isStoreFull } from './record-admission';
import { type ChainLookup, type TurnRecord, estimateTurnBytes } from './records';
import {
  HEDGE_DELAY_MILLISECONDS,
  RETRY_DELAY_MILLISECONDS,
  type StoreQueries,
} from './store-queries';

/** Size after which a message with ancestors ends, so that it does not delay other messages. */
const ANCESTORS_LIMIT_BYTES = 256 * 1024;

/** Time for which large turns are refused after a store had no memory for one. */
const STORE_FULL_MILLISECONDS = 2000;

/** Time to record a large turn; the stores sync several megabytes in much less. */
const LARGE_TURN_MILLISECONDS = 1500;

export interface RecordOptions {
  readonly record: TurnRecord;
  /** Monotonic time, milliseconds. */
  readonly deadline: number;
  /** The turns that the recorded one continues, oldest first; read when needed if undefined. */
  readonly ancestors?: readonly TurnRecord[] | undefined;
}

export interface TurnRecorderOptions {
  readonly stores: StoreQueries;
  readonly readChain: (turn: string, program: string, deadline: number) => Promise<ChainLookup>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A store's copy of the recorded turn. */
interface TurnCopy extends RecordAnswer {
  readonly member: ViewMember;
  readonly view: StoreView;
}

/**
 * Records completed turns at a quorum of complete stores, each of which holds the turn's whole chain.
 * A store keeps the ancestors of the turns that it keeps, so it never expires a part of a chain that
 * another store counts on, whichever program continues the chain and whatever the store has missed.
 *
 * Writes to the program's preferred replicas first, and to the other stores if one of those is late,
 * fails or is incomplete. Then sends the ancestors that as many of the stores lack as the quorum needs.
 *
 * A new view removes one store and adds one, so a quorum that counts the added store could be
 * disjoint from one of the former view. A store is complete only after it has pulled from a quorum
 * of places whose stores serve the new view, so that no quorum of the former one is left.
 */
export class TurnRecorder {
  readonly #options: TurnRecorderOptions;
  /** The large turn that is being recorded. */
  #largeTurn: Promise<void> = Promise.resolve();
  #storeFullAt = -Infinity;

  constructor(options: TurnRecorderOptions) {
    this.#options = options;
  }

  /** Whether the stores have had memory for turns of this size lately. */
  hasRoomFor(bytes: number): boolean {
    if (!this.#options.stores.hasRoomFor(bytes)) return false;
    if (bytes <= SMALL_TURN_BYTES) return true;
    return this.#options.clock.monotonic() - this.#storeFullAt > STORE_FULL_MILLISECONDS;
  }

  /**
   * Rejects with {@link TurnsUnavailableError} if no quorum has the chain by the deadline. Large
   * turns are recorded one at a time, since each is copied for each store.
   */
  async record(options: RecordOptions): Promise<void> {
    if (estimateTurnBytes(options.record) <= SMALL_TURN_BYTES) return this.#record(options);
    const recorded = this.#largeTurn.then(() => this.#recordLarge(options));
    this.#largeTurn = recorded.catch(() => undefined);
    return recorded;
  }

  /** A turn that is refused for lack of memory is not sent to the stores for long. */
  async #recordLarge(options: RecordOptions): Promise<void> {
    if (!this.hasRoomFor(estimateTurnBytes(options.record))) {
      throw new TurnsUnavailableError('the stores have no memory for a turn of this size');
    }
    const latest = this.#options.clock.monotonic() + LARGE_TURN_MILLISECONDS;
    await this.#record({ ...options, deadline: Math.min(options.deadline, latest) });
  }

  async #record(options: RecordOptions): Promise<void> {
    const { clock } = this.#options;
    const { record, deadline } = options;
    for (;;) {
      const copies = await this.#write(record, deadline);
      if (await this.#completeQuorum(copies, options)) return;
      if (clock.monotonic() + RETRY_DELAY_MILLISECONDS >= deadline) {
        throw new TurnsUnavailableError(
          `too few stores hold the turns that ${record.id} continues`,
        );
      }
      await delay(clock, RETRY_DELAY_MILLISECONDS);
    }
  }

  #write(record: TurnRecord, deadline: number): Promise<readonly TurnCopy[]> {
    const { stores } = this.#options;
    const bytes = estimateTurnBytes(record);
    return stores.queryQuorum<TurnCopy>({
      deadline,
      isCounted: isComplete,
      // Memory for large turns is free again once others are written, and that for all turns is not.
      mayRetry: () => bytes > SMALL_TURN_BYTES || stores.hasRoomFor(bytes),
      hedge: (view) => ({
        order: stores.responsiveFirst(stores.rank(view, record.program)),
        initialCount: view.quorum,
        hedgeDelayMilliseconds: HEDGE_DELAY_MILLISECONDS,
      }),
      query: async (view, member) => {
        const { epoch } = view;
        const answer = await stores
          .call(member, 'turns.record', { epoch, record })
          .catch((error: unknown) => this.#noteStoreFull(error, member, bytes));
        return answer.kind === 'kept' ? { ...answer, member, view } : answer;
      },
    });
  }

  #noteStoreFull(error: unknown, member: ViewMember, bytes: number): never {
    if (isStoreFull(error)) {
      if (bytes > SMALL_TURN_BYTES) this.#storeFullAt = this.#options.clock.monotonic();
      else this.#options.stores.noteRefusal(member, bytes);
    }
    throw error;
  }

  /** Resolves with whether each store of a quorum now holds the whole chain. */
  async #completeQuorum(copies: readonly TurnCopy[], options: RecordOptions): Promise<boolean> {
    const counted = copies.filter(isComplete);
    const partial = counted.filter(({ missing }) => missing !== undefined);
    const [first] = partial;
    if (first === undefined) return true;
    const { view } = first;
    const neededCount = view.quorum - (counted.length - partial.length);
    if (neededCount <= 0) return true;
    const ancestors = options.ancestors ?? (await this.#readAncestors(options));
    const needed = this.#byRank(partial, options.record.program).slice(0, neededCount);
    const completions = needed.map((copy) => this.#complete(copy, ancestors, options));
    return (await Promise.all(completions)).every(Boolean);
  }

  /** Later turns of the program go to its preferred replicas. */
  #byRank(copies: readonly TurnCopy[], program: string): readonly TurnCopy[] {
    const [first] = copies;
    if (first === undefined) return copies;
    const order = this.#options.stores.rank(first.view, program);
    return [...copies].sort(
      (left, right) => order.indexOf(left.member) - order.indexOf(right.member),
    );
  }

  async #readAncestors({ record, deadline }: RecordOptions): Promise<readonly TurnRecord[]> {
    const { id, program, previous } = record;
    if (previous === undefined) return [];
    const chain = await this.#options.readChain(previous, program, deadline);
    if (chain.kind === 'found') return chain.records;
    throw new TurnsUnavailableError(`turn ${previous}, which ${id} continues, is not found`);
  }

  /** Sends a store the ancestors that it lacks; resolves with whether it now holds all of them. */
  async #complete(
    copy: TurnCopy,
    ancestors: readonly TurnRecord[],
    { record, deadline }: RecordOptions,
  ): Promise<boolean> {
    const { clock, logger, metrics } = this.#options;
    const subject = { turn: record.id, program: record.program, store: copy.member.name };
    let sentCount = 0;
    try {
      for (let { missing } = copy; missing !== undefined;) {
        const page = pageBefore(ancestors, missing);
        if (page.length === 0) throw new TurnsUnavailableError(`turn ${missing} is not known`);
        if (clock.monotonic() >= deadline) throw new TurnsUnavailableError('too late');
        missing = await this.#sendPage(copy, record.id, page);
        sentCount += page.length;
      }
    } catch (error) {
      logger.info({ event: 'chain-not-completed', ...subject, error: messageOf(error) });
      return false;
    }
    metrics.count('ancestors_sent_total', sentCount);
    logger.info({ event: 'chain-completed', ...subject, missing: copy.missing, sent: sentCount });
    return true;
  }

  /** Resolves with the id of the next turn that the store lacks. */
  async #sendPage(
    { member, view }: TurnCopy,
    turn: string,
    ancestors: readonly TurnRecord[],
  ): Promise<string | undefined> {
    const { stores } = this.#options;
    const request = { epoch: view.epoch, turn, ancestors };
    const pending = stores.call(member, 'turns.extend', request);
    const answer = await stores.trackResponsiveness(member, pending);
    stores.adoptNewerView(answer);
    if (answer.kind === 'kept') return answer.missing;
    throw new TurnsUnavailableError(`the store does not serve epoch ${view.epoch}: ${answer.kind}`);
  }
}

function isComplete({ complete }: RecordAnswer): boolean {
  return complete !== false;
}

/** The turn with the given id and those before it, newest first, that fit in one message. */
function pageBefore(ancestors: readonly TurnRecord[], id: string): readonly TurnRecord[] {
  const page: TurnRecord[] = [];
  let bytes = 0;
  const end = ancestors.findIndex((ancestor) => ancestor.id === id) + 1;
  for (const ancestor of ancestors.slice(0, end).reverse()) {
    if (bytes >= ANCESTORS_LIMIT_BYTES) break;
    bytes += estimateTurnBytes(ancestor);
    page.push(ancestor);
  }
  return page;
}
