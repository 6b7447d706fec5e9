import type { RandomSource } from '../../core';

/** Messages that may be taken before earlier ones. */
const REORDERED = 8;

/** Share of the messages that arrive twice. */
const REPEATED_SHARE = 0.05;

/** Messages under way in a test: they come out of order, and some twice or never. */
export class MessyNetwork<Message> {
  readonly #random: RandomSource;
  readonly #messages: Message[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
  }

  send(...messages: readonly Message[]): void {
    this.#messages.push(...messages);
  }

  /** Takes one of the oldest messages; nothing if there is none. */
  take(): Message | undefined {
    if (this.#messages.length === 0) return undefined;
    const index = this.#pick(Math.min(this.#messages.length, REORDERED));
    const [message] = this.#messages.splice(index, 1);
    if (message === undefined) return undefined;
    if (this.#random.fraction() < REPEATED_SHARE) this.#messages.push(message);
    return message;
  }

  /** Loses one message. */
  drop(): void {
    this.#messages.splice(this.#pick(this.#messages.length), 1);
  }

  /** Takes all messages, in order. */
  takeAll(): readonly Message[] {
    return this.#messages.splice(0);
  }

  #pick(count: number): number {
    return Math.floor(this.#random.fraction() * count);
  }
}
