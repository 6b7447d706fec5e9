/** Prompt prefixes that are kept; the least recently used one is evicted. */
const PREFIX_LIMIT = 256;

/** Targets that are kept per prefix. */
const TARGETS_PER_PREFIX_LIMIT = 12;

/** Finds the targets that recently processed a prompt with a given first part. */
export class PrefixCacheIndex {
  /** Target ids by the id of the first part, most recent last. */
  readonly #targets = new Map<string, string[]>();

  record(firstPart: string, target: string): void {
    const others = this.targetsFor(firstPart).filter((id) => id !== target);
    this.#targets.delete(firstPart);
    this.#targets.set(firstPart, [...others.slice(1 - TARGETS_PER_PREFIX_LIMIT), target]);
    if (this.#targets.size <= PREFIX_LIMIT) return;
    const [oldest] = this.#targets.keys();
    if (oldest !== undefined) this.#targets.delete(oldest);
  }

  targetsFor(firstPart: string): readonly string[] {
    return this.#targets.get(firstPart) ?? [];
  }
}
