import type { RandomSource } from '../../core';

/** Number of oldest messages among which the next one is picked. */
const REORDER_WINDOW = 8;

const DUPLICATE_FRACTION = 0.05;

/** Messages in flight; delivers them out of order, duplicates some and can drop them. */
export class UnreliableNetwork<Message> {
  readonly #random: RandomSource;
  readonly #messages: Message[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
  }

  send(...messages: readonly Message[]): void {
    this.#messages.push(...messages);
  }

  /** Removes one of the oldest messages; undefined if there is none. */
  take(): Message | undefined {
    if (this.#messages.length === 0) return undefined;
    const index = this.#pick(Math.min(this.#messages.length, REORDER_WINDOW));
    const [message] = this.#messages.splice(index, 1);
    if (message === undefined) return undefined;
    if (this.#random.fraction() < DUPLICATE_FRACTION) this.#messages.push(message);
    return message;
  }

  /** Drops one message at random. */
  drop(): void {
    this.#messages.splice(this.#pick(this.#messages.length), 1);
  }

  /** Removes all messages, in the order they were sent. */
  takeAll(): readonly Message[] {
    return this.#messages.splice(0);
  }

  #pick(count: number): number {
    return Math.floor(this.#random.fraction() * count);
  }
}
