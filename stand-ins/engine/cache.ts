import { digestText } from '../../src/core';

/** A block of cached prompt tokens; its key covers everything before it as well. */
interface CachedBlock {
  readonly key: string;
  lastUsed: number;
  readonly owners: Set<string>;
  pins: number;
}

/** A change of the cache, as events report it. */
export interface CacheChange {
  readonly kind: 'stored' | 'removed';
  readonly block: string;
}

/** A prefix cache of fixed-size blocks in limited memory, evicting the least recently used. */
export class PrefixCache {
  readonly #capacity: number;
  readonly #blocks = new Map<string, CachedBlock>();
  readonly #onChange: (change: CacheChange) => void;
  #uses = 0;

  constructor(capacityBlocks: number, onChange: (change: CacheChange) => void) {
    this.#capacity = capacityBlocks;
    this.#onChange = onChange;
  }

  get size(): number {
    return this.#blocks.size;
  }

  /** How many of the leading blocks are held. */
  match(keys: readonly string[]): number {
    const missing = keys.findIndex((key) => !this.#blocks.has(key));
    return missing < 0 ? keys.length : missing;
  }

  /** Holds blocks for a running call; returns whether they fit. */
  pin(keys: readonly string[], owner: string): boolean {
    const fresh = keys.filter((key) => !this.#blocks.has(key)).length;
    const wanted = new Set(keys);
    const evictable = [...this.#blocks.values()].filter(
      (block) => block.pins === 0 && !wanted.has(block.key),
    );
    const free = this.#capacity - this.#blocks.size;
    if (fresh > free + evictable.length) return false;
    evictable.sort((left, right) => left.lastUsed - right.lastUsed);
    for (const block of evictable.slice(0, Math.max(0, fresh - free))) this.#remove(block.key);
    for (const key of keys) this.#use(key, owner).pins += 1;
    return true;
  }

  unpin(keys: readonly string[]): void {
    for (const key of keys) {
      const block = this.#blocks.get(key);
      if (block !== undefined) block.pins -= 1;
    }
  }

  /** Drops what only this owner holds; returns the number of blocks dropped. */
  release(owner: string): number {
    const held = [...this.#blocks.values()].filter((block) => block.owners.delete(owner));
    const dead = held.filter((block) => block.owners.size === 0 && block.pins === 0);
    for (const block of dead) this.#remove(block.key);
    return dead.length;
  }

  /** Blocks of one owner, for export. */
  exportOwner(owner: string): readonly string[] {
    return [...this.#blocks.values()]
      .filter((block) => block.owners.has(owner))
      .map((block) => block.key);
  }

  /** Adds blocks computed elsewhere; returns whether they fit. */
  importOwner(owner: string, keys: readonly string[]): boolean {
    if (!this.pin(keys, owner)) return false;
    this.unpin(keys);
    return true;
  }

  /** Number of blocks that each owner holds. */
  listing(): Readonly<Record<string, number>> {
    const counts = new Map<string, number>();
    for (const block of this.#blocks.values()) {
      for (const owner of block.owners) counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    return Object.fromEntries([...counts].sort(([left], [right]) => (left < right ? -1 : 1)));
  }

  #use(key: string, owner: string): CachedBlock {
    this.#uses += 1;
    const known = this.#blocks.get(key);
    const block = known ?? { key, lastUsed: 0, owners: new Set<string>(), pins: 0 };
    block.lastUsed = this.#uses;
    block.owners.add(owner);
    if (known === undefined) {
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

/** Keys of the whole blocks of a token list. */
export function blockKeys(tokens: readonly string[], blockTokens: number): readonly string[] {
  const keys: string[] = [];
  let previous = '';
  for (let end = blockTokens; end <= tokens.length; end += blockTokens) {
    previous = digestText(previous + tokens.slice(end - blockTokens, end).join('')).slice(0, 16);
    keys.push(previous);
  }
  return keys;
}
