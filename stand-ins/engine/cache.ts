import { digestText } from '../../src/core';

/** A block of cached prompt tokens; its key is a digest of all tokens up to its end. */
interface CachedBlock {
  readonly key: string;
  lastUsed: number;
  readonly owners: Set<string>;
  pins: number;
}

export interface CacheChange {
  readonly kind: 'stored' | 'removed';
  readonly block: string;
}

/** A prefix cache of fixed-size blocks with least-recently-used eviction. */
export class PrefixCache {
  readonly #capacity: number;
  readonly #blocks = new Map<string, CachedBlock>();
  readonly #onChange: (change: CacheChange) => void;
  #useCount = 0;

  constructor(capacityBlocks: number, onChange: (change: CacheChange) => void) {
    this.#capacity = capacityBlocks;
    this.#onChange = onChange;
  }

  get size(): number {
    return this.#blocks.size;
  }

  /** Number of leading blocks that are cached. */
  countCachedPrefix(keys: readonly string[]): number {
    const missing = keys.findIndex((key) => !this.#blocks.has(key));
    return missing < 0 ? keys.length : missing;
  }

  /** Pins the blocks of a running call; returns false and changes nothing if they do not fit. */
  pin(keys: readonly string[], owner: string): boolean {
    const missingBlocks = keys.filter((key) => !this.#blocks.has(key)).length;
    const requestedKeys = new Set(keys);
    const evictable = [...this.#blocks.values()].filter(
      (block) => block.pins === 0 && !requestedKeys.has(block.key),
    );
    const free = this.#capacity - this.#blocks.size;
    if (missingBlocks > free + evictable.length) return false;
    evictable.sort((left, right) => left.lastUsed - right.lastUsed);
    for (const block of evictable.slice(0, Math.max(0, missingBlocks - free)))
      this.#remove(block.key);
    for (const key of keys) this.#touch(key, owner).pins += 1;
    return true;
  }

  unpin(keys: readonly string[]): void {
    for (const key of keys) {
      const block = this.#blocks.get(key);
      if (block !== undefined) block.pins -= 1;
    }
  }

  /** Removes unpinned blocks of which this is the only owner; returns their number. */
  release(owner: string): number {
    const released = [...this.#blocks.values()].filter((block) => block.owners.delete(owner));
    const unused = released.filter((block) => block.owners.size === 0 && block.pins === 0);
    for (const block of unused) this.#remove(block.key);
    return unused.length;
  }

  /** Keys of the blocks of one owner. */
  exportOwner(owner: string): readonly string[] {
    return [...this.#blocks.values()]
      .filter((block) => block.owners.has(owner))
      .map((block) => block.key);
  }

  /** Adds blocks of another engine; returns false if they do not fit. */
  importOwner(owner: string, keys: readonly string[]): boolean {
    if (!this.pin(keys, owner)) return false;
    this.unpin(keys);
    return true;
  }

  blockCountsByOwner(): Readonly<Record<string, number>> {
    const counts = new Map<string, number>();
    for (const block of this.#blocks.values()) {
      for (const owner of block.owners) counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    return Object.fromEntries([...counts].sort(([left], [right]) => (left < right ? -1 : 1)));
  }

  #touch(key: string, owner: string): CachedBlock {
    this.#useCount += 1;
    const existing = this.#blocks.get(key);
    const block = existing ?? { key, lastUsed: 0, owners: new Set<string>(), pins: 0 };
    block.lastUsed = this.#useCount;
    block.owners.add(owner);
    if (existing === undefined) {
      this.#blocks.set(key, block);
      this.#onChange({ kind: 'stored', block: key });
    }
    return block;
  }

  #remove(key: string): void {
    this.#blocks.delete(key);
    this.#onChange({ kind: 'removed', block: key });
  }
}

/** Keys of the complete blocks of a token list; a partial last block has none. */
export function blockKeys(tokens: readonly string[], blockTokens: number): readonly string[] {
  const keys: string[] = [];
  let previous = '';
  for (let end = blockTokens; end <= tokens.length; end += blockTokens) {
    previous = digestText(previous + tokens.slice(end - blockTokens, end).join('')).slice(0, 16);
    keys.push(previous);
  }
  return keys;
}
