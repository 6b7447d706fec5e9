import { raiseUncaught } from '../core';

export interface LatestValueOptions {
  /** Called with an error of a listener; reported as uncaught by default. */
  readonly onListenerError?: (error: unknown) => void;
}

/** Holds the value with the highest version seen by this process; older versions are ignored. */
export class LatestValue<Value> {
  readonly #listeners: ((value: Value) => void)[] = [];
  readonly #versionOf: (value: Value) => number;
  readonly #onListenerError: (error: unknown) => void;
  #value: Value | undefined;

  constructor(
    versionOf: (value: Value) => number,
    { onListenerError = raiseUncaught }: LatestValueOptions = {},
  ) {
    this.#versionOf = versionOf;
    this.#onListenerError = onListenerError;
  }

  get value(): Value | undefined {
    return this.#value;
  }

  /** Version of the current value; 0 while there is none. */
  get version(): number {
    return this.#value === undefined ? 0 : this.#versionOf(this.#value);
  }

  /**
   * Stores `value` and notifies the listeners if its version is higher; returns whether it is. An error
   * of a listener reaches neither the others, which would never hear of this version, nor the caller.
   */
  offer(value: Value): boolean {
    if (this.#value !== undefined && this.#versionOf(value) <= this.version) return false;
    this.#value = value;
    for (const listener of this.#listeners) this.#notify(listener, value);
    return true;
  }

  #notify(listener: (value: Value) => void, value: Value): void {
    try {
      listener(value);
    } catch (error) {
      this.#onListenerError(error);
    }
  }

  onChange(listener: (value: Value) => void): void {
    this.#listeners.push(listener);
  }
}
