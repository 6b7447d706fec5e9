import * as z from 'zod';
import { type StoreView, storeViewSchema } from '../cluster';
import type { RandomSource } from '../core';
import type { RecordStore } from '../storage';
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

/** The durable state of one store: turns, budgets and its membership. */
export class TurnJournal {
  readonly #store: RecordStore;
  readonly #random: RandomSource;
  readonly table = new TurnTable();
  #state: StoreState = NEW_STATE;
  #durableCompleteFor = 0;
  #characters = 0;
  #compacting = false;

  constructor(store: RecordStore, random: RandomSource) {
    this.#store = store;
    this.#random = random;
  }

  /** May be called again after a rejection. */
  async open(): Promise<void> {
    const { snapshot = [], records } = await this.#store.load({
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
    });
    for (const row of snapshot) this.#restore(row);
    for (const record of records) this.#restoreRecord(record);
    this.#durableCompleteFor = this.#state.completeFor;
    if (this.#state.dataLife !== '') return;
    await this.#persistState({ ...this.#state, dataLife: this.#random.hex(INCARNATION_ID_BYTES) });
  }

  close(): Promise<void> {
    return this.#store.close();
  }

  get dataLife(): string {
    return this.#state.dataLife;
  }

  get completeFor(): number {
    return this.#durableCompleteFor;
  }

  get view(): StoreView | undefined {
    return this.#state.view;
  }

  /** Takes effect in memory at once; resolves once the view is durable. */
  persistView(view: StoreView): Promise<void> {
    return this.#persistState({ ...this.#state, view });
  }

  /** Takes effect once it is durable: what other processes conclude from it outlasts a restart. */
  async persistCompleteFor(completeFor: number): Promise<void> {
    await this.#persistState({ ...this.#state, completeFor });
    this.#durableCompleteFor = Math.max(this.#durableCompleteFor, completeFor);
  }

  /** Adds rows, visible at once; resolves once they are durable. */
  add(rows: readonly TurnRow[]): Promise<void> {
    const lines: string[] = [];
    for (const row of rows) {
      if (this.table.apply(row)) lines.push(encodeRow(row));
    }
    return this.#append(lines);
  }

  async #persistState(state: StoreState): Promise<void> {
    this.#state = state;
    await this.#append([JSON.stringify([STORE_STATE_KIND, state])]);
  }

  async #append(lines: readonly string[]): Promise<void> {
    for (const line of lines) this.#characters += line.length;
    // An earlier append may hold the same row and not be durable yet; the no-op line waits for it.
    await this.#store.append(lines.length > 0 ? lines : [NO_OP_LINE]);
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

  /** All rows and the state, as lines. */
  *snapshot(): Generator<string> {
    yield JSON.stringify([STORE_STATE_KIND, this.#state]);
    for (const row of this.table.rows()) yield encodeRow(row);
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
