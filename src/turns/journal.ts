import * as z from 'zod';
import { type StoreView, storeViewSchema } from '../cluster';
import type { RandomSource } from '../core';
import type { RecordStore } from '../storage';
import { type TurnRow, decodeRow, encodeRow } from './records';
import { TurnTable } from './table';

/** Bytes of rows after which a snapshot takes their place. */
const COMPACT_CHARACTERS = 48 * 1024 * 1024;

const LIFE_BYTES = 8;

/** Kind of the lines that tell what a store keeps about itself; the newest one counts. */
const OWN_LINE = 'own';

const ownSchema = z.object({
  dataLife: z.string(),
  completeFor: z.int(),
  view: storeViewSchema.optional(),
});

/** What a store keeps about itself. */
interface OwnState {
  /** Drawn when the data folder was first used. */
  readonly dataLife: string;
  /** Epoch at which the store joined the view for which it holds everything; 0 for none. */
  readonly completeFor: number;
  /** The newest view that the store has served. */
  readonly view?: StoreView | undefined;
}

/** The durable state of one store: turns and budgets, and what it knows of its own part. */
export class TurnJournal {
  readonly #store: RecordStore;
  readonly #random: RandomSource;
  readonly #onFailure: (error: unknown) => void;
  readonly table = new TurnTable();
  #own: OwnState = { dataLife: '', completeFor: 0 };
  #characters = 0;
  #compacting = false;

  /** `onFailure` is called when the disk refuses a write: what it holds is not known any more. */
  constructor(
    store: RecordStore,
    random: RandomSource,
    onFailure: (error: unknown) => void = () => undefined,
  ) {
    this.#store = store;
    this.#random = random;
    this.#onFailure = onFailure;
  }

  async open(): Promise<void> {
    const { snapshot = [], records } = await this.#store.load();
    for (const text of [...snapshot, ...records]) this.#restore(text);
    if (this.#own.dataLife !== '') return;
    await this.#keepOwn({ ...this.#own, dataLife: this.#random.hex(LIFE_BYTES) });
  }

  close(): Promise<void> {
    return this.#store.close();
  }

  get dataLife(): string {
    return this.#own.dataLife;
  }

  get completeFor(): number {
    return this.#own.completeFor;
  }

  get view(): StoreView | undefined {
    return this.#own.view;
  }

  /** Resolves once the view lasts; it is in force in memory at once. */
  keepView(view: StoreView): Promise<void> {
    return this.#keepOwn({ ...this.#own, view });
  }

  keepComplete(completeFor: number): Promise<void> {
    return this.#keepOwn({ ...this.#own, completeFor });
  }

  /** Adds rows; they are seen at once and last when the promise resolves. */
  add(rows: readonly TurnRow[]): Promise<void> {
    const lines: string[] = [];
    for (const row of rows) {
      if (this.table.apply(row)) lines.push(encodeRow(row));
    }
    return this.#append(lines);
  }

  async #keepOwn(own: OwnState): Promise<void> {
    this.#own = own;
    await this.#append([JSON.stringify([OWN_LINE, own])]);
  }

  async #append(lines: readonly string[]): Promise<void> {
    for (const line of lines) this.#characters += line.length;
    // An empty append waits for those before it, which may hold the same row.
    try {
      await this.#store.append(lines.length > 0 ? lines : [EMPTY_LINE]);
    } catch (error) {
      this.#onFailure(error);
      throw error;
    }
    if (this.#characters > COMPACT_CHARACTERS && !this.#compacting) await this.#compact();
  }

  async #compact(): Promise<void> {
    this.#compacting = true;
    this.#characters = 0;
    try {
      const snapshot = this.#snapshot();
      await this.#store.compact({ snapshot, records: [], exclusive: false });
    } finally {
      this.#compacting = false;
    }
  }

  *#snapshot(): Generator<string> {
    yield JSON.stringify([OWN_LINE, this.#own]);
    for (const row of this.table.rows()) yield encodeRow(row);
  }

  #restore(text: string): void {
    if (text === EMPTY_LINE) return;
    const [kind, ...fields] = JSON.parse(text) as readonly unknown[];
    if (kind === OWN_LINE) this.#own = ownSchema.parse(fields[0]);
    else this.table.apply(decodeRow(kind, fields));
  }
}

/** Stands for nothing, so that an append can wait for those before it. */
const EMPTY_LINE = '["none"]';
