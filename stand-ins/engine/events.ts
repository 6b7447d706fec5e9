import type { CacheChange } from './cache';

export interface CacheEvent extends CacheChange {
  readonly number: number;
}

export interface EventFaults {
  /** Drops every n-th event; 0 for none. */
  readonly loseEvery: number;
  /** Delay between a change and its event. */
  readonly delayMilliseconds: number;
}

const MAX_RETAINED_EVENTS = 10_000;

/** Numbered cache events, published with a delay and with gaps where events were dropped. */
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
    if (this.#events.length > MAX_RETAINED_EVENTS) this.#events.shift();
  }

  /** Published events with a higher number. */
  after(number: number): readonly CacheEvent[] {
    const now = this.#now();
    return this.#events
      .filter(({ event, dueAt }) => event.number > number && dueAt <= now)
      .map(({ event }) => event);
  }
}
