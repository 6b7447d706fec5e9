/** Beginnings of prompts that are remembered; the one unused for longest gives way. */
const BEGINNING_LIMIT = 256;

/** Targets remembered for each beginning; a choice weighs no more of them. */
const HOLDER_LIMIT = 12;

/** Which targets have lately read a prompt with a certain first part. */
export class PartHolders {
  /** Target ids by the id of the first part, the latest last. */
  readonly #holders = new Map<string, string[]>();

  note(firstPart: string, target: string): void {
    const others = this.of(firstPart).filter((id) => id !== target);
    this.#holders.delete(firstPart);
    this.#holders.set(firstPart, [...others.slice(1 - HOLDER_LIMIT), target]);
    if (this.#holders.size <= BEGINNING_LIMIT) return;
    const [oldest] = this.#holders.keys();
    if (oldest !== undefined) this.#holders.delete(oldest);
  }

  of(firstPart: string): readonly string[] {
    return this.#holders.get(firstPart) ?? [];
  }
}
