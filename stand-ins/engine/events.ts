import type { CacheChange } from './cache';

/** A numbered cache event. */
export interface CacheEvent extends CacheChange {
  readonly number: number;
}

export interface EventFaults {
  /** Every so-manieth event is lost; 0 for none. */
  readonly loseEvery: number;
  /** How long an event is held back; milliseconds. */
  readonly delayMilliseconds: number;
}

const KEPT_EVENTS = 10_000;

/** Cache events as an engine publishes them: late, numbered, and with gaps. */
export class EventLog {
  readonly #faults: EventFaults;
  readonly #now: () => number;
  #events: { readonly event: CacheEvent; readonly dueAt: number }[] = [];
  #number = 0;

  constructor(faults: EventFaults, now: () => number) {
    this.#faults = faults;
    this.#now = now;
  }

  add(change: CacheChange): void {
    this.#number += 1;
    const { loseEvery, delayMilliseconds } = this.#faults;
    if (loseEvery > 0 && this.#number % loseEvery === 0) return;
    const event = { ...change, number: this.#number };
    this.#events.push({ event, dueAt: this.#now() + delayMilliseconds });
    if (this.#events.length > KEPT_EVENTS) this.#events.shift();
  }

  /** Events above a number that are due by now. */
  after(number: number): readonly CacheEvent[] {
    const now = this.#now();
    return this.#events
      .filter(({ event, dueAt }) => event.number > number && dueAt <= now)
      .map(({ event }) => event);
  }
}
