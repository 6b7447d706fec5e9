import { serialize } from 'node:v8';

const LATENCY_MILLISECONDS = 1.4;

/** The outgoing link of a host: what it sends leaves one after the other. */
export class SimulatedLink {
  readonly #bytesPerMillisecond: number;
  /** Sizes of bodies that are sent more than once. */
  readonly #sizes = new WeakMap<object, number>();
  #freeAt = 0;
  sentBytes = 0;

  constructor(bytesPerMillisecond: number) {
    this.#bytesPerMillisecond = bytesPerMillisecond;
  }

  /** Returns the time at which the message arrives; milliseconds. */
  send(body: unknown, now: number): number {
    const bytes = this.#sizeOf(body);
    this.sentBytes += bytes;
    this.#freeAt = Math.max(now, this.#freeAt) + bytes / this.#bytesPerMillisecond;
    return this.#freeAt + LATENCY_MILLISECONDS;
  }

  #sizeOf(body: unknown): number {
    if (typeof body !== 'object' || body === null) return serialize(body).length;
    const size = this.#sizes.get(body) ?? serialize(body).length;
    this.#sizes.set(body, size);
    return size;
  }
}
