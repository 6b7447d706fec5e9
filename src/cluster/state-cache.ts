import * as z from 'zod';
import { type Component, type Logger, messageOf } from '../core';
import type { RecordStore } from '../storage';
import type { VersionedConfiguration } from './contract';
import type { LatestValue } from './latest-value';
import { packedTextSchema } from './packed-text';
import { type StoreView, storeViewSchema } from './view';

/** Characters of stored records above which the store is compacted to the newest of each kind. */
const COMPACTION_THRESHOLD_CHARACTERS = 4 * 1024 * 1024;

const recordSchema = z.union([
  z.object({ configuration: z.object({ version: z.number(), text: packedTextSchema }) }),
  z.object({ view: storeViewSchema }),
]);

type CachedRecord = z.output<typeof recordSchema>;

export interface ClusterStateCacheOptions {
  readonly store: RecordStore;
  readonly configuration: LatestValue<VersionedConfiguration>;
  readonly view: LatestValue<StoreView>;
  readonly logger: Logger;
}

/**
 * Caches on disk the newest configuration and view that this process has seen. Both were committed,
 * so after a restart callers can be served before a leader is elected; newer versions replace them.
 * Reads and changes of the cluster state itself still go to the leader.
 */
export class ClusterStateCache implements Component {
  readonly #options: ClusterStateCacheOptions;
  #characters = 0;

  constructor(options: ClusterStateCacheOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { store, configuration, view } = this.#options;
    await this.#restore();
    configuration.onChange((value) => {
      this.#persist({ configuration: value });
    });
    view.onChange((value) => {
      this.#persist({ view: value });
    });
    if (this.#characters > COMPACTION_THRESHOLD_CHARACTERS) await store.compact(this.#compaction());
  }

  stop(): Promise<void> {
    return this.#options.store.close();
  }

  async #restore(): Promise<void> {
    const { store, configuration, view, logger } = this.#options;
    const take = (text: string) => {
      this.#offer(text);
    };
    const reset = () => {
      this.#characters = 0;
    };
    const { snapshot = [], records } = await store.load({
      ...{ reset, takeSnapshotRow: take, takeRecord: take },
    });
    for (const text of [...snapshot, ...records]) take(text);
    const versions = { configuration: configuration.version, epoch: view.version };
    logger.info({ event: 'known-state-read', ...versions });
  }

  #offer(text: string): void {
    const { configuration, view } = this.#options;
    this.#characters += text.length;
    const record = recordSchema.parse(JSON.parse(text));
    if ('view' in record) view.offer(record.view);
    else configuration.offer(record.configuration);
  }

  #persist(record: CachedRecord): void {
    const { store, logger } = this.#options;
    const text = JSON.stringify(record);
    this.#characters += text.length;
    const isLarge = this.#characters > COMPACTION_THRESHOLD_CHARACTERS;
    if (isLarge) this.#characters = 0;
    const written = isLarge ? store.compact(this.#compaction()) : store.append([text]);
    written.catch((error: unknown) => {
      logger.warn({ event: 'known-state-not-kept', error: messageOf(error) });
    });
  }

  #compaction(): { snapshot: readonly string[]; records: readonly string[]; exclusive: boolean } {
    const { configuration, view } = this.#options;
    const snapshot = newestState(configuration, view);
    return { snapshot, records: [], exclusive: false };
  }
}

/** The newest configuration and view that are known, as records. */
export function newestState(
  configuration: LatestValue<VersionedConfiguration>,
  view: LatestValue<StoreView>,
): readonly string[] {
  const newest: CachedRecord[] = [];
  if (configuration.value !== undefined) newest.push({ configuration: configuration.value });
  if (view.value !== undefined) newest.push({ view: view.value });
  return newest.map((record) => JSON.stringify(record));
}
