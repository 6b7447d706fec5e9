import type { LatestValue, MemberEntry, StoreView } from '../cluster';
import {
  type CancelTimer,
  type Clock,
  type Component,
  type Logger,
  type Metrics,
  PeriodicTask,
  messageOf,
} from '../core';
import { MemoryReclaimer } from '../resources';
import type { CallHandlers, CastHandlers } from '../rpc';
import type {
  ChainAnswer,
  ChainRequest,
  ExtendRequest,
  PullAnswer,
  PullRequest,
  RecordAnswer,
  RecordRequest,
  ReservationsAnswer,
  ReserveRequest,
  SettleNotice,
  TurnContract,
  ViewMismatch,
} from './contract';
import type { Backfill } from './backfill';
import type { TurnJournal } from './journal';
import { PullSessions } from './pull-sessions';
import {
  COPIES_OF_TURN,
  RecordAdmission,
  type RecordAdmissionOptions,
  sizesOf,
} from './record-admission';
import type { TurnRecord } from './records';

const EXPIRY_INTERVAL_MILLISECONDS = 10_000;

/** Delay before a view that the disk has refused is written again. */
const VIEW_RETRY_MILLISECONDS = 1000;

/** Size after which the answer to a read of a chain ends. */
const CHAIN_ANSWER_LIMIT_BYTES = 1024 * 1024;

const NO_ROWS = { rows: [], final: false, interrupted: false } as const;

export interface TurnStoreOptions {
  /** Name of this host. */
  readonly self: string;
  readonly journal: TurnJournal;
  readonly backfill: Backfill;
  readonly view: LatestValue<StoreView>;
  /** Bounds the memory of turns; unbounded by default. */
  readonly memory?: RecordAdmissionOptions & { readonly reclaimer: MemoryReclaimer };
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const UNBOUNDED = {
  turnsBytes: Infinity,
  largeTurnsBytes: Infinity,
  writingBytes: Infinity,
  reclaimer: new MemoryReclaimer(Infinity),
};

/** Serves turns and budgets of one host, in the views that it is a member of. */
export class TurnStore implements Component {
  readonly #options: TurnStoreOptions;
  readonly #pullSessions: PullSessions;
  readonly #expiryTask: PeriodicTask;
  readonly #admission: RecordAdmission;
  readonly #reclaimer: MemoryReclaimer;
  readonly #createdAt: { readonly timeOfDay: number; readonly monotonic: number };
  #view: StoreView | undefined;
  #viewPersisted: Promise<void> = Promise.resolve();
  /** Whether the newest view is in memory only. */
  #isViewRefused = false;
  #cancelViewRetry: CancelTimer = () => undefined;

  constructor(options: TurnStoreOptions) {
    this.#options = options;
    const { journal, clock, view, memory = UNBOUNDED } = options;
    this.#admission = new RecordAdmission(memory);
    this.#reclaimer = memory.reclaimer;
    this.#createdAt = { timeOfDay: clock.now(), monotonic: clock.monotonic() };
    this.#pullSessions = new PullSessions(journal.table, clock);
    this.#expiryTask = new PeriodicTask(clock, EXPIRY_INTERVAL_MILLISECONDS, () => {
      this.#expire();
    });
    view.onChange((value) => {
      this.#adopt(value);
    });
    journal.onReload(() => {
      this.#resume();
    });
  }

  /** The journal must be open. */
  start(): void {
    const { journal, view } = this.#options;
    if (journal.view !== undefined) view.offer(journal.view);
    this.#expiryTask.start();
  }

  async stop(): Promise<void> {
    this.#expiryTask.stop();
    this.#cancelViewRetry();
    this.#options.backfill.stop();
    await this.#options.journal.close();
  }

  get calls(): CallHandlers<TurnContract> {
    return {
      'turns.reserve': (request) => this.#reserve(request),
      'turns.reservations': ({ epoch, program }) =>
        this.#inCurrentView(epoch, () => this.#reservations(program)),
      'turns.record': (request) => this.#record(request),
      'turns.extend': (request) => this.#extend(request),
      'turns.chain': (request) => this.#chain(request),
      'turns.pull': (request) => this.#pull(request),
    };
  }

  get casts(): CastHandlers<TurnContract> {
    return {
      'turns.settle': (notice) => {
        this.#settle(notice);
      },
    };
  }

  /** Rejects requests of older views at once; requests of this one wait until it is durable. */
  #adopt(view: StoreView): void {
    if (view.epoch <= (this.#view?.epoch ?? 0)) return;
    this.#view = view;
    this.#persistView(view);
  }

  /** Begins again, after the journal was read again, what depends on the rows that it held. */
  #resume(): void {
    this.#pullSessions.clear();
    if (this.#view !== undefined) this.#persistView(this.#view);
  }

  /** Requests of the view are rejected while the disk refuses it. */
  #persistView(view: StoreView): void {
    const { journal, backfill, clock, logger } = this.#options;
    this.#viewPersisted =
      view.epoch === journal.view?.epoch && !this.#isViewRefused
        ? Promise.resolve()
        : journal.persistView(view);
    this.#viewPersisted.then(
      () => {
        this.#isViewRefused = false;
        backfill.start(view);
      },
      (error: unknown) => {
        this.#isViewRefused = true;
        logger.error({ event: 'view-not-kept', epoch: view.epoch, error: messageOf(error) });
        this.#cancelViewRetry = clock.after(VIEW_RETRY_MILLISECONDS, () => {
          if (this.#view === view) this.#persistView(view);
        });
      },
    );
  }

  /** Runs `serve` if the requested epoch is that of the current view and the view is durable. */
  async #inCurrentView<Answer>(
    epoch: number,
    serve: () => Answer | Promise<Answer>,
    isServed = (view: StoreView) => this.#isMember(view),
  ): Promise<Answer | ViewMismatch> {
    const view = this.#view;
    if (view === undefined || view.epoch < epoch) return { kind: 'behind' };
    if (view.epoch > epoch) return { kind: 'stale', view };
    if (!isServed(view)) return { kind: 'behind' };
    await this.#viewPersisted;
    if (this.#view !== view) return { kind: 'stale', view: this.#view ?? view };
    this.#options.journal.requireCertain();
    return serve();
  }

  #isMember(view: StoreView): boolean {
    return view.members.some((member) => this.#isSelf(member));
  }

  get #isComplete(): boolean {
    const { self, journal } = this.#options;
    const member = this.#view?.members.find(({ name }) => name === self);
    return member?.joined === journal.completeFor;
  }

  #isSelf({ name, dataLife }: MemberEntry): boolean {
    const { self, journal } = this.#options;
    return name === self && dataLife === journal.dataLife;
  }

  #reserve({
    epoch,
    program,
    turn,
    most,
    spread,
    others = [],
  }: ReserveRequest): Promise<ReservationsAnswer | ViewMismatch> {
    return this.#inCurrentView(epoch, async () => {
      const { journal, clock } = this.#options;
      const written = { turn, tokens: most, settled: false };
      const reservations = [spread === true ? { ...written, spread } : written, ...others];
      await journal.add([{ kind: 'budget', program, reservations, changedAt: clock.now() }]);
      return this.#reservations(program);
    });
  }

  #reservations(program: string): ReservationsAnswer {
    const reservations = this.#options.journal.table.reservations(program);
    const complete = this.#isComplete;
    return { kind: 'reservations', complete, reservations, ...this.#limit() };
  }

  #record({ epoch, record }: RecordRequest): Promise<RecordAnswer | ViewMismatch> {
    return this.#inCurrentView(epoch, () => this.#keep(record.id, [record]));
  }

  #extend({ epoch, turn, ancestors }: ExtendRequest): Promise<RecordAnswer | ViewMismatch> {
    return this.#inCurrentView(epoch, () => this.#keep(turn, ancestors));
  }

  /** Resolves once the records are durable, with what is still missing of the chain of `turn`. */
  async #keep(turn: string, records: readonly TurnRecord[]): Promise<RecordAnswer> {
    const { journal } = this.#options;
    const sizes = sizesOf(records.filter(({ id }) => !journal.table.has(id)));
    const { turnBytes: keptBytes } = journal.table;
    let missing: string | undefined;
    await this.#admission.run(sizes, keptBytes, () => {
      const written = journal.add(records.map((record) => ({ kind: 'turn', record })));
      // Turns that are added to the table from here on may become durable later than `records`.
      missing = journal.table.missingAncestor(turn);
      return written;
    });
    // The copies that were made to write them.
    const { largeBytes } = sizes;
    if (largeBytes > 0) this.#reclaimer.recordReleased(largeBytes * COPIES_OF_TURN);
    return { kind: 'kept', complete: this.#isComplete, missing, ...this.#limit() };
  }

  /** Size up to which there is memory for another turn; empty if it is not limited. */
  #limit(): { readonly largestTurnBytes?: number } {
    const { turnBytes } = this.#options.journal.table;
    const largestTurnBytes = this.#admission.largestTurnBytes(turnBytes);
    return largestTurnBytes === Infinity ? {} : { largestTurnBytes };
  }

  #settle({ program, turn, tokens }: SettleNotice): void {
    const { journal, clock, logger } = this.#options;
    const reservations = [{ turn, tokens, settled: true }];
    journal
      .add([{ kind: 'budget', program, reservations, changedAt: clock.now() }])
      .catch((error: unknown) => {
        logger.warn({ event: 'budget-not-settled', program, turn, error: messageOf(error) });
      });
  }

  #chain({ epoch, turn }: ChainRequest): Promise<ChainAnswer | ViewMismatch> {
    return this.#inCurrentView(epoch, () => {
      const { table } = this.#options.journal;
      const { records, missing } = table.chain(turn, CHAIN_ANSWER_LIMIT_BYTES);
      return { kind: 'chain', complete: this.#isComplete, records, missing } as const;
    });
  }

  /** Also serves former members' rows: the members that replaced them may not be complete. */
  #pull(request: PullRequest): Promise<PullAnswer | ViewMismatch> {
    const { epoch, joined } = request;
    const findHolder = ({ members }: StoreView): MemberEntry | undefined => {
      const holders =
        joined === undefined
          ? members
          : members.flatMap((member) => [member, ...(member.predecessors ?? [])]);
      return holders.find(
        (holder) => this.#isSelf(holder) && (joined ?? holder.joined) === holder.joined,
      );
    };
    const readPage = () => {
      const holder = this.#view === undefined ? undefined : findHolder(this.#view);
      const isComplete = holder !== undefined && this.#options.journal.completeFor >= holder.joined;
      const page = isComplete ? this.#pullSessions.readPage(request) : NO_ROWS;
      return { kind: 'rows', complete: isComplete && !page.interrupted, ...page } as const;
    };
    return this.#inCurrentView(epoch, readPage, (view) => findHolder(view) !== undefined);
  }

  /** The time of day without its jumps since this store was created; milliseconds. */
  get #steadyTimeOfDay(): number {
    return this.#createdAt.timeOfDay + this.#options.clock.monotonic() - this.#createdAt.monotonic;
  }

  /** Spares the rows of a backfill under way, which brings turns before those that continue them. */
  #expire(): void {
    const { journal, clock, logger, metrics } = this.#options;
    if (this.#view !== undefined && this.#isMember(this.#view) && !this.#isComplete) return;
    const dropped = journal.expire(Math.min(clock.now(), this.#steadyTimeOfDay));
    metrics.count('turns_expired_total', dropped);
    if (dropped > 0) {
      logger.info({ event: 'turns-expired', dropped, kept: journal.table.turnCount });
    }
  }
}
