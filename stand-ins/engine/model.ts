import { type CacheChange, PrefixCache, blockKeys } from './cache';

/** Durations from which the time of a step is computed. */
export interface EngineSpeed {
  /** Fixed part of each step. */
  readonly stepMilliseconds: number;
  /** Per sequence that decodes a token in the step. */
  readonly sequenceMilliseconds: number;
  /** Per prompt token that is prefilled in the step. */
  readonly prefillTokenMilliseconds: number;
}

export interface EngineModelOptions {
  readonly speed: EngineSpeed;
  readonly batchLimit?: number;
  /** Maximum of prompt tokens that one step prefills. */
  readonly prefillTokensPerStep?: number;
  readonly blockTokens?: number;
  readonly cacheBlocks?: number;
  readonly onCacheChange?: (change: CacheChange) => void;
}

export interface EngineCall {
  readonly id: string;
  readonly owner: string;
  /** Lower values run first. */
  readonly priority: number;
  readonly prompt: readonly string[];
  readonly output: readonly string[];
}

/** A token that one step decoded for one call. */
export interface Emission {
  readonly id: string;
  readonly token: string;
  readonly isLast: boolean;
  readonly cachedTokens: number;
}

export interface StepResult {
  readonly milliseconds: number;
  readonly emissions: readonly Emission[];
}

interface RunningCall {
  readonly call: EngineCall;
  readonly keys: readonly string[];
  readonly cachedTokens: number;
  remainingPrefillTokens: number;
  emittedTokens: number;
}

/**
 * Model of an engine with continuous batching: each step prefills a limited number of prompt tokens
 * and decodes one token of every prefilled call. Reads no clock; steps return their duration.
 */
export class EngineModel {
  readonly cache: PrefixCache;
  readonly #speed: EngineSpeed;
  readonly #batchLimit: number;
  readonly #prefillTokensPerStep: number;
  readonly #blockTokens: number;
  #waiting: EngineCall[] = [];
  #running: RunningCall[] = [];

  constructor(options: EngineModelOptions) {
    const { batchLimit = 32, prefillTokensPerStep = 2048, blockTokens = 16 } = options;
    this.#speed = options.speed;
    this.#batchLimit = batchLimit;
    this.#prefillTokensPerStep = prefillTokensPerStep;
    this.#blockTokens = blockTokens;
    this.cache = new PrefixCache(
      options.cacheBlocks ?? 4096,
      options.onCacheChange ?? (() => undefined),
    );
  }

  get running(): number {
    return this.#running.length;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  get isBusy(): boolean {
    return this.running + this.waiting > 0;
  }

  add(call: EngineCall): void {
    const at = this.#waiting.findIndex((other) => other.priority > call.priority);
    this.#waiting.splice(at < 0 ? this.#waiting.length : at, 0, call);
  }

  /** Removes a call from the queue or the batch. */
  cancel(id: string): void {
    this.#waiting = this.#waiting.filter((call) => call.id !== id);
    const running = this.#running.find((entry) => entry.call.id === id);
    if (running !== undefined) this.#finish(running);
  }

  /** Runs one step; the caller delivers its emissions after `milliseconds`. */
  step(): StepResult {
    this.#admit();
    const prefilled = this.#prefill();
    const decoding = this.#running.filter((entry) => entry.remainingPrefillTokens === 0);
    const emissions = decoding.map((entry) => this.#decode(entry));
    const { stepMilliseconds, sequenceMilliseconds, prefillTokenMilliseconds } = this.#speed;
    const milliseconds =
      stepMilliseconds +
      decoding.length * sequenceMilliseconds +
      prefilled * prefillTokenMilliseconds;
    return { milliseconds, emissions };
  }

  #admit(): void {
    while (this.#running.length < this.#batchLimit) {
      const [call] = this.#waiting;
      if (call === undefined) return;
      const keys = blockKeys(call.prompt, this.#blockTokens);
      const cachedTokens = this.cache.countCachedPrefix(keys) * this.#blockTokens;
      const fits = this.cache.pin(keys, call.owner);
      if (!fits && this.#running.length > 0) return;
      this.#waiting.shift();
      const remainingPrefillTokens = call.prompt.length - cachedTokens;
      this.#running.push({
        call,
        keys: fits ? keys : [],
        cachedTokens,
        remainingPrefillTokens,
        emittedTokens: 0,
      });
    }
  }

  #prefill(): number {
    let budget = this.#prefillTokensPerStep;
    for (const entry of this.#running) {
      const tokens = Math.min(entry.remainingPrefillTokens, budget);
      entry.remainingPrefillTokens -= tokens;
      budget -= tokens;
    }
    return this.#prefillTokensPerStep - budget;
  }

  #decode(entry: RunningCall): Emission {
    const { call, cachedTokens } = entry;
    const token = call.output[entry.emittedTokens] ?? '';
    entry.emittedTokens += 1;
    const isLast = entry.emittedTokens >= call.output.length;
    if (isLast) this.#finish(entry);
    return { id: call.id, token, isLast, cachedTokens };
  }

  #finish(entry: RunningCall): void {
    this.#running = this.#running.filter((other) => other !== entry);
    this.cache.unpin(entry.keys);
  }
}
