/** Holds the value with the highest version seen by this process; older versions are ignored. */
export class LatestValue<Value> {
  readonly #listeners: ((value: Value) => void)[] = [];
  readonly #versionOf: (value: Value) => number;
  #value: Value | undefined;

  constructor(versionOf: (value: Value) => number) {
    this.#versionOf = versionOf;
  }

  get value(): Value | undefined {
    return this.#value;
  }

  /** Version of the current value; 0 while there is none. */
  get version(): number {
    return this.#value === undefined ? 0 : this.#versionOf(this.#value);
  }

  /** Stores `value` and notifies the listeners if its version is higher; returns whether it is. */
  offer(value: Value): boolean {
    if (this.#value !== undefined && this.#versionOf(value) <= this.version) return false;
    this.#value = value;
    for (const listener of this.#listeners) listener(value);
    return true;
  }

  onChange(listener: (value: Value) => void): void {
    this.#listeners.push(listener);
  }
}
