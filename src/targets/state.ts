import type { Clock } from '../core';
import type { ListedTarget } from './target';

/** First time for which a target that can't be reached gets no work; milliseconds. */
const FIRST_PAUSE_MILLISECONDS = 300;

/** Longest such time; the list drops a crashed server after some seconds. Milliseconds. */
const LONGEST_PAUSE_MILLISECONDS = 3000;

/** Prompt parts remembered for each engine. */
const PART_LIMIT = 4096;

/** What this process knows of one target. */
export class TargetState {
  readonly #clock: Clock;
  readonly #parts = new Map<string, number>();
  target: ListedTarget;
  /** Requests of this process that are under way there. */
  inFlight = 0;
  /** Requests of other processes that were under way there when they last said so. */
  inFlightElsewhere = 0;
  #failures = 0;
  #pausedUntil = -Infinity;

  constructor(target: ListedTarget, clock: Clock) {
    this.target = target;
    this.#clock = clock;
  }

  get load(): number {
    return this.inFlight + this.inFlightElsewhere;
  }

  get isPaused(): boolean {
    return this.#clock.monotonic() < this.#pausedUntil;
  }

  noteSuccess(): void {
    this.#failures = 0;
    this.#pausedUntil = -Infinity;
  }

  /** Keeps new work away for a time that grows with each failure in a row. */
  noteFailure(): void {
    const pause = FIRST_PAUSE_MILLISECONDS * 2 ** this.#failures;
    this.#failures = Math.min(this.#failures + 1, 10);
    this.#pausedUntil =
      this.#clock.monotonic() + Math.min(pause, LONGEST_PAUSE_MILLISECONDS);
  }

  /** Notes that the engine has read a part of a prompt. */
  noteParts(ids: readonly string[]): void {
    const now = this.#clock.monotonic();
    for (const id of ids) {
      this.#parts.delete(id);
      this.#parts.set(id, now);
    }
    for (const id of this.#parts.keys()) {
      if (this.#parts.size <= PART_LIMIT) break;
      this.#parts.delete(id);
    }
  }

  hasPart(id: string): boolean {
    return this.#parts.has(id);
  }
}
