import type { Clock } from '../core';
import {
  type HealthEvent,
  NEW_TARGET_HEALTH,
  type PlacementCandidate,
  failureShareAt,
  isPausedAt,
  nextHealth,
} from '../decisions';
import type { ListedTarget, PromptPart } from './target';

/** Prompt parts remembered for each engine at most, however few tokens they have. */
const PART_LIMIT = 4096;

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
  #health = NEW_TARGET_HEALTH;

  constructor(target: ListedTarget, clock: Clock) {
    this.target = target;
    this.#clock = clock;
  }

  get load(): number {
    return this.inFlight + this.inFlightElsewhere;
  }

  get isPaused(): boolean {
    return isPausedAt(this.#health, this.#clock.monotonic());
  }

  /** Share of the requests here that failed lately, 0 to 1; what is long ago counts less. */
  get failureShare(): number {
    return failureShareAt(this.#health, this.#clock.monotonic());
  }

  /** Notes what the outcome of a request says of the target. */
  note(event: HealthEvent): void {
    this.#health = nextHealth(this.#health, event, this.#clock.monotonic());
  }

  /** What is known of the target at `now`, for the placement of a prompt with these parts. */
  candidateAt(now: number, parts: readonly PromptPart[]): PlacementCandidate {
    return {
      id: this.target.id,
      availabilityZone: this.target.availabilityZone,
      slots: this.target.slots,
      load: this.load,
      failureShare: failureShareAt(this.#health, now),
      isPaused: isPausedAt(this.#health, now),
      heldTokens: parts.length === 0 ? 0 : this.heldTokens(parts),
    };
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
