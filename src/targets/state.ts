import type { Clock } from '../core';
import type { ListedTarget, PromptPart } from './target';

/** First time for which a target that can't be reached gets no work; milliseconds. */
const FIRST_PAUSE_MILLISECONDS = 300;

/** Longest such time; the list drops a crashed server after some seconds. Milliseconds. */
const LONGEST_PAUSE_MILLISECONDS = 3000;

/** Prompt parts remembered for each engine at most, however few tokens they have. */
const PART_LIMIT = 4096;

/** Weight of the newest outcome in the share of failures; three failures in a row make 0.66. */
const OUTCOME_WEIGHT = 0.3;

/** Time in which a share of failures that nothing confirms falls by half; milliseconds. */
const FORGIVING_MILLISECONDS = 5000;

/** What this process knows of one target. */
export class TargetState {
  readonly #clock: Clock;
  /** Tokens by part, the latest used last. */
  readonly #parts = new Map<string, number>();
  #partTokens = 0;
  target: ListedTarget;
  /** Requests of this process that are under way there. */
  inFlight = 0;
  /** Requests of other processes that were under way there when they last said so. */
  inFlightElsewhere = 0;
  #failures = 0;
  #failureShare = 0;
  #outcomeAt = 0;
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

  /** Share of the requests here that failed lately, 0 to 1; what is long ago counts less. */
  get failureShare(): number {
    const age = this.#clock.monotonic() - this.#outcomeAt;
    return this.#failureShare * 0.5 ** (age / FORGIVING_MILLISECONDS);
  }

  /** Notes an answer that the target itself marks as a failure. */
  noteError(): void {
    this.#noteOutcome(1);
    this.#endPause();
  }

  noteSuccess(): void {
    this.#noteOutcome(0);
    this.#endPause();
  }

  #noteOutcome(failure: 0 | 1): void {
    const share = this.failureShare;
    this.#failureShare = share + (failure - share) * OUTCOME_WEIGHT;
    this.#outcomeAt = this.#clock.monotonic();
  }

  /** The target answers. */
  #endPause(): void {
    if (this.#pausedUntil === Infinity) return;
    this.#failures = 0;
    this.#pausedUntil = -Infinity;
  }

  /** Notes that another server has the address, which this one does not get back. */
  noteGone(): void {
    this.#pausedUntil = Infinity;
  }

  /** Keeps new work away for a time that grows with each failure in a row. */
  noteFailure(): void {
    this.#noteOutcome(1);
    if (this.#pausedUntil === Infinity) return;
    const pause = FIRST_PAUSE_MILLISECONDS * 2 ** this.#failures;
    this.#failures = Math.min(this.#failures + 1, 10);
    this.#pausedUntil = this.#clock.monotonic() + Math.min(pause, LONGEST_PAUSE_MILLISECONDS);
  }

  /**
   * Notes what the engine has read, and generated behind the last part. Parts that were unused for
   * longest are forgotten where the engine's memory, in tokens, can't hold them any more.
   */
  noteParts(parts: readonly PromptPart[], generatedTokens: number, memoryTokens: number): void {
    parts.forEach(({ id, tokens }, index) => {
      this.#forget(id);
      const held = index === parts.length - 1 ? tokens + generatedTokens : tokens;
      this.#parts.set(id, held);
      this.#partTokens += held;
    });
    for (const id of this.#parts.keys()) {
      if (this.#partTokens <= memoryTokens && this.#parts.size <= PART_LIMIT) break;
      this.#forget(id);
    }
  }

  #forget(id: string): void {
    this.#partTokens -= this.#parts.get(id) ?? 0;
    this.#parts.delete(id);
  }

  /** Tokens of a prompt that the engine has read before, from its beginning on. */
  heldTokens(parts: readonly PromptPart[]): number {
    let held = 0;
    for (const { id, tokens } of parts) {
      const known = Math.min(this.#parts.get(id) ?? 0, tokens);
      held += known;
      if (known < tokens) break;
    }
    return held;
  }
}
