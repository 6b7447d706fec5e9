import * as z from 'zod';
import { type Component, type Logger, messageOf } from '../core';
import type { RecordStore } from '../storage';
import type { VersionedConfiguration } from './contract';
import type { Newest } from './newest';
import { type StoreView, storeViewSchema } from './view';

/** Characters of records after which the newest ones take the place of all. */
const COMPACT_CHARACTERS = 4 * 1024 * 1024;

const recordSchema = z.union([
  z.object({ configuration: z.object({ version: z.number(), text: z.string() }) }),
  z.object({ view: storeViewSchema }),
]);

type KnownRecord = z.output<typeof recordSchema>;

export interface KnownStateOptions {
  readonly store: RecordStore;
  readonly configuration: Newest<VersionedConfiguration>;
  readonly view: Newest<StoreView>;
  readonly logger: Logger;
}

/**
 * The newest configuration and view that this process has seen, on its disk. Both were committed, so
 * after a start the process may go by them before it has heard of a leader; what is newer replaces
 * them. Purpose: when all processes start at once, callers are served without waiting for an
 * election. Nothing is decided by it: reads and changes go to the leader.
 */
export class KnownState implements Component {
  readonly #options: KnownStateOptions;
  #characters = 0;

  constructor(options: KnownStateOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { store, configuration, view } = this.#options;
    await this.#restore();
    configuration.onChange((value) => {
      this.#keep({ configuration: value });
    });
    view.onChange((value) => {
      this.#keep({ view: value });
    });
    if (this.#characters > COMPACT_CHARACTERS) await store.compact(this.#compaction());
  }

  stop(): Promise<void> {
    return this.#options.store.close();
  }

  async #restore(): Promise<void> {
    const { store, configuration, view, logger } = this.#options;
    const { snapshot = [], records } = await store.load();
    for (const text of [...snapshot, ...records]) {
      this.#characters += text.length;
      const record = recordSchema.parse(JSON.parse(text));
      if ('view' in record) view.offer(record.view);
      else configuration.offer(record.configuration);
    }
    const known = { configuration: configuration.number, epoch: view.number };
    logger.info({ event: 'known-state-read', ...known });
  }

  #keep(record: KnownRecord): void {
    const { store, logger } = this.#options;
    const text = JSON.stringify(record);
    this.#characters += text.length;
    const isLarge = this.#characters > COMPACT_CHARACTERS;
    if (isLarge) this.#characters = 0;
    const kept = isLarge ? store.compact(this.#compaction()) : store.append([text]);
    kept.catch((error: unknown) => {
      logger.warn({ event: 'known-state-not-kept', error: messageOf(error) });
    });
  }

  #compaction(): { snapshot: readonly string[]; records: readonly string[]; exclusive: boolean } {
    const { configuration, view } = this.#options;
    const newest: KnownRecord[] = [];
    if (configuration.value !== undefined) newest.push({ configuration: configuration.value });
    if (view.value !== undefined) newest.push({ view: view.value });
    const snapshot = newest.map((record) => JSON.stringify(record));
    return { snapshot, records: [], exclusive: false };
  }
}
