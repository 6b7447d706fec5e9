import * as z from 'zod';
import { type StoreView, storeViewSchema } from '../cluster';
import type { RandomSource } from '../core';
import type { RecordConsumer, RecordStore } from '../storage';
import { UncertainStateError } from './errors';
import { type TurnRow, decodeRow, encodeRow } from './records';
import { TurnTable } from './table';

/** Characters appended since the last snapshot that trigger the next one. */
const COMPACTION_THRESHOLD_CHARACTERS = 48 * 1024 * 1024;

const INCARNATION_ID_BYTES = 8;

/** Kind of the lines that hold a {@link StoreState}; the last one applies. */
const STORE_STATE_KIND = 'own';

const storeStateSchema = z.object({
  dataLife: z.string(),
  completeFor: z.int(),
  view: storeViewSchema.optional(),
});

interface StoreState {
  /** Id of the incarnation of the data folder, generated at its first use. */
  readonly dataLife: string;
  /** The store's `joined` epoch for which its backfill is complete; 0 for none. */
  readonly completeFor: number;
  /** The newest view that the store has served. */
  readonly view?: StoreView | undefined;
}

const NEW_STATE: StoreState = { dataLife: '', completeFor: 0 };

export interface TurnJournalOptions {
  readonly table?: TurnTable;
}

/**
 * The durable state of one store: turns, budgets and its membership. If a change of what is in memory
 * stops with an error, everything is rejected until the state was read from the disk again: a part of
 * the change may be visible without being on the disk.
 */
export class TurnJournal {
  readonly #store: RecordStore;
  readonly #random: RandomSource;
  readonly table: TurnTable;
  #state: StoreState = NEW_STATE;
  #dataLife = '';
  #durableCompleteFor = 0;
  #characters = 0;
  #compacting = false;
  #isUncertain = false;
  /** Number of times that the state became uncertain. */
  #interruptions = 0;
  readonly #reloadListeners: (() => void)[] = [];

  constructor(
    store: RecordStore,
    random: RandomSource,
    { table = new TurnTable() }: TurnJournalOptions = {},
  ) {
    this.#store = store;
    this.#random = random;
    this.table = table;
  }

  /** May be called again after a rejection. */
  async open(): Promise<void> {
    const { snapshot = [], records } = await this.#store.load(this.#consumer);
    for (const row of snapshot) this.#restore(row);
    for (const record of records) this.#restoreRecord(record);
    await this.#completeOpen();
  }

  close(): Promise<void> {
    return this.#store.close();
  }

  /** Another one after a reload that found damaged files and started empty. */
  get dataLife(): string {
    return this.#dataLife;
  }

  /** Throws while the state in memory is uncertain. */
  requireCertain(): void {
    if (this.#isUncertain) throw new UncertainStateError();
  }

  /** Calls `listener` each time that the state was read from the disk again. */
  onReload(listener: () => void): void {
    this.#reloadListeners.push(listener);
  }

  /** 0 while the state is uncertain. */
  get completeFor(): number {
    return this.#isUncertain ? 0 : this.#durableCompleteFor;
  }

  get view(): StoreView | undefined {
    return this.#state.view;
  }

  /** Takes effect in memory at once; resolves once the view is durable. */
  async persistView(view: StoreView): Promise<void> {
    this.requireCertain();
    await this.#persistState({ ...this.#state, view });
  }

  /** Takes effect once it is durable: what other processes conclude from it outlasts a restart. */
  async persistCompleteFor(completeFor: number): Promise<void> {
    this.requireCertain();
    await this.#persistState({ ...this.#state, completeFor });
    this.#durableCompleteFor = Math.max(this.#durableCompleteFor, completeFor);
  }

  /** Adds rows, visible at once; resolves once they are durable. */
  async add(rows: readonly TurnRow[]): Promise<void> {
    // Encoded before any row is visible: a row that can't be encoded changes nothing.
    const encoded = rows.map((row) => ({ row, line: this.#encodeUnlessHeld(row) }));
    const lines = this.#change(() =>
      encoded.filter(({ row }) => this.table.apply(row)).map(({ line }) => line),
    );
    await this.#append(lines);
  }

  /** Removes rows past their retention; `now` is wall-clock time. Returns the count of turns. */
  expire(now: number): number {
    if (this.#isUncertain) return 0;
    return this.#change(() => this.table.expire(now));
  }

  /** Turns never change, so the line of one that is held is not needed. */
  #encodeUnlessHeld(row: TurnRow): string {
    return row.kind === 'turn' && this.table.has(row.record.id) ? NO_OP_LINE : encodeRow(row);
  }

  /** Runs a change of the table; after an error, the state is read from the disk again. */
  #change<Result>(change: () => Result): Result {
    this.requireCertain();
    try {
      return change();
    } catch (error) {
      this.#isUncertain = true;
      this.#interruptions += 1;
      void this.#reload(error);
      throw error;
    }
  }

  /** Without a store that can be read again, the state remains uncertain until a restart. */
  async #reload(cause: unknown): Promise<void> {
    for (let latest = cause; (await this.#store.reload?.(latest)) === true;) {
      try {
        await this.#completeOpen();
        this.#isUncertain = false;
        for (const listener of this.#reloadListeners) listener();
        return;
      } catch (error) {
        latest = error;
      }
    }
  }

  get #consumer(): RecordConsumer {
    return {
      reset: () => {
        this.table.clear();
        this.#state = NEW_STATE;
        this.#characters = 0;
      },
      takeSnapshotRow: (row) => {
        this.#restore(row);
      },
      takeRecord: (record) => {
        this.#restoreRecord(record);
      },
    };
  }

  /** Takes over what was read; an empty disk gets a new id. */
  async #completeOpen(): Promise<void> {
    this.#durableCompleteFor = this.#state.completeFor;
    if (this.#state.dataLife === '') {
      const dataLife = this.#random.hex(INCARNATION_ID_BYTES);
      await this.#persistState({ ...this.#state, dataLife });
    }
    this.#dataLife = this.#state.dataLife;
  }

  async #persistState(state: StoreState): Promise<void> {
    this.#state = state;
    await this.#append([JSON.stringify([STORE_STATE_KIND, state])]);
  }

  /** Rejects also if the state has become uncertain meanwhile. */
  async #append(lines: readonly string[]): Promise<void> {
    const interruptions = this.#interruptions;
    for (const line of lines) this.#characters += line.length;
    // An earlier append may hold the same row and not be durable yet; the no-op line waits for it.
    await this.#store.append(lines.length > 0 ? lines : [NO_OP_LINE]);
    if (this.#interruptions !== interruptions) throw new UncertainStateError();
    if (this.#characters > COMPACTION_THRESHOLD_CHARACTERS && !this.#compacting)
      await this.#compact();
  }

  async #compact(): Promise<void> {
    this.#compacting = true;
    this.#characters = 0;
    try {
      const snapshot = this.snapshot();
      await this.#store.compact({ snapshot, records: [], exclusive: false });
    } finally {
      this.#compacting = false;
    }
  }

  /** All rows and the state, as lines; throws if the state becomes uncertain while it is iterated. */
  *snapshot(): Generator<string> {
    const interruptions = this.#interruptions;
    const requireUnchanged = () => {
      this.requireCertain();
      if (this.#interruptions !== interruptions) throw new UncertainStateError();
    };
    requireUnchanged();
    yield JSON.stringify([STORE_STATE_KIND, this.#state]);
    for (const row of this.table.rows()) {
      requireUnchanged();
      yield encodeRow(row);
    }
    requireUnchanged();
  }

  #restoreRecord(text: string): void {
    this.#characters += text.length;
    this.#restore(text);
  }

  #restore(text: string): void {
    if (text === NO_OP_LINE) return;
    const [kind, ...fields] = JSON.parse(text) as readonly unknown[];
    if (kind === STORE_STATE_KIND) this.#state = storeStateSchema.parse(fields[0]);
    else this.table.apply(decodeRow(kind, fields));
  }
}

/** Line that is ignored when read; appending it waits for the appends before it. */
const NO_OP_LINE = '["none"]';
