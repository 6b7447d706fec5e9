import type { Clock, Component } from '../core';

export const CHANGE_KEYS = {
  configuration: 'configuration',
  directory: 'directory',
  program: (id: string) => `program ${id}`,
  orders: (target: string) => `orders ${target}`,
} as const;

/** Lets long-polling calls wait for a change of one of their keys. */
export class ChangeNotifier implements Component {
  readonly #clock: Clock;
  readonly #waiting = new Map<string, Set<() => void>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  notify(key: string): void {
    const waiting = this.#waiting.get(key);
    this.#waiting.delete(key);
    for (const wake of waiting ?? []) wake();
  }

  notifyAll(): void {
    for (const key of [...this.#waiting.keys()]) this.notify(key);
  }

  /** Wakes all waiting calls, which then find that this member no longer leads. */
  stop(): void {
    this.notifyAll();
  }

  /** Resolves at the next change of any of `keys`, or after `milliseconds`. */
  wait(keys: readonly string[], milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        cancel();
        for (const key of keys) this.#waiting.get(key)?.delete(wake);
        resolve();
      };
      const cancel = this.#clock.after(milliseconds, wake);
      for (const key of keys) this.#add(key, wake);
    });
  }

  #add(key: string, wake: () => void): void {
    const waiting = this.#waiting.get(key) ?? new Set();
    waiting.add(wake);
    this.#waiting.set(key, waiting);
  }
}
