/** The newest of a series of numbered values that this process has seen; it never goes back. */
export class Newest<Value> {
  readonly #listeners: ((value: Value) => void)[] = [];
  readonly #numberOf: (value: Value) => number;
  #value: Value | undefined;

  constructor(numberOf: (value: Value) => number) {
    this.#numberOf = numberOf;
  }

  get value(): Value | undefined {
    return this.#value;
  }

  /** Number of the value; 0 before the first. */
  get number(): number {
    return this.#value === undefined ? 0 : this.#numberOf(this.#value);
  }

  /** Takes a value if it is newer than the one held; returns whether it was. */
  offer(value: Value): boolean {
    if (this.#value !== undefined && this.#numberOf(value) <= this.number) return false;
    this.#value = value;
    for (const listener of this.#listeners) listener(value);
    return true;
  }

  onChange(listener: (value: Value) => void): void {
    this.#listeners.push(listener);
  }
}
