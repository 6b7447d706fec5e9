import type { Clock } from '../core';
import {
  type HealthEvent,
  INITIAL_TARGET_HEALTH,
  type PlacementCandidate,
  failureShareAt,
  isPausedAt,
  nextHealth,
} from '../decisions';
import type { KnownIncarnation } from './incarnation';
import type { ListedTarget, PromptPart, TargetEnd } from './target';

/** Maximum number of prompt parts that are tracked per engine. */
const CACHED_PART_LIMIT = 4096;

/** State that this process keeps for one run of a target. */
export class TargetState {
  readonly #clock: Clock;
  /** Cached tokens by part id, most recently used last. */
  readonly #parts = new Map<string, number>();
  #partTokens = 0;
  target: ListedTarget;
  /** Requests of this process. */
  inFlight = 0;
  /** Requests of the other gateways, as they last reported. */
  inFlightFromOthers = 0;
  /** Whether the target was removed or has restarted; only requests in flight use the state. */
  isRetired = false;
  /** How the target ended, if it was not drained; undefined as long as it is on the list. */
  end: TargetEnd | undefined;
  readonly #listedAt: number;
  #health = INITIAL_TARGET_HEALTH;

  constructor(target: ListedTarget, clock: Clock) {
    this.target = target;
    this.#clock = clock;
    this.#listedAt = clock.now();
  }

  get incarnation(): KnownIncarnation {
    return { bornAt: this.target.bornAt, listedAt: this.#listedAt };
  }

  get load(): number {
    return this.inFlight + this.inFlightFromOthers;
  }

  get isPaused(): boolean {
    return isPausedAt(this.#health, this.#clock.monotonic());
  }

  /** Decaying share of failed requests, 0 to 1. */
  get failureShare(): number {
    return failureShareAt(this.#health, this.#clock.monotonic());
  }

  recordOutcome(event: HealthEvent): void {
    this.#health = nextHealth(this.#health, event, this.#clock.monotonic());
  }

  /** Describes the target at `now` for the placement of a prompt with these parts. */
  candidateAt(
    now: number,
    parts: readonly PromptPart[],
    hasIdleConnection: boolean,
  ): PlacementCandidate {
    return {
      id: this.target.id,
      availabilityZone: this.target.availabilityZone,
      slots: this.target.slots,
      load: this.load,
      failureShare: failureShareAt(this.#health, now),
      isPaused: isPausedAt(this.#health, now),
      cachedTokens: parts.length === 0 ? 0 : this.cachedTokens(parts),
      hasIdleConnection,
    };
  }

  /**
   * Records the parts in the engine's cache; generated tokens extend the last part. The least
   * recently used parts are evicted when they exceed the capacity of the cache, in tokens.
   */
  recordParts(
    parts: readonly PromptPart[],
    generatedTokens: number,
    cacheCapacityTokens: number,
  ): void {
    parts.forEach(({ id, tokens }, index) => {
      this.#evict(id);
      const cachedTokens = index === parts.length - 1 ? tokens + generatedTokens : tokens;
      this.#parts.set(id, cachedTokens);
      this.#partTokens += cachedTokens;
    });
    for (const id of this.#parts.keys()) {
      if (this.#partTokens <= cacheCapacityTokens && this.#parts.size <= CACHED_PART_LIMIT) break;
      this.#evict(id);
    }
  }

  #evict(id: string): void {
    this.#partTokens -= this.#parts.get(id) ?? 0;
    this.#parts.delete(id);
  }

  /** Length of the prompt's cached prefix; tokens. */
  cachedTokens(parts: readonly PromptPart[]): number {
    let prefixTokens = 0;
    for (const { id, tokens } of parts) {
      const cachedTokens = Math.min(this.#parts.get(id) ?? 0, tokens);
      prefixTokens += cachedTokens;
      if (cachedTokens < tokens) break;
    }
    return prefixTokens;
  }
}
