import { type CacheChange, PrefixCache, blockKeys } from './cache';

/** How fast the modelled engine is; times in milliseconds. */
export interface EngineSpeed {
  readonly stepMilliseconds: number;
  readonly sequenceMilliseconds: number;
  readonly prefillTokenMilliseconds: number;
}

export interface EngineModelOptions {
  readonly speed: EngineSpeed;
  readonly batchLimit?: number;
  /** Prompt tokens that one step works on, at most. */
  readonly prefillTokensPerStep?: number;
  readonly blockTokens?: number;
  readonly cacheBlocks?: number;
  readonly onCacheChange?: (change: CacheChange) => void;
}

export interface EngineCall {
  readonly id: string;
  readonly owner: string;
  /** Lower goes first. */
  readonly priority: number;
  readonly prompt: readonly string[];
  readonly output: readonly string[];
}

/** What one step brought for one call. */
export interface Emission {
  readonly id: string;
  readonly token: string;
  readonly last: boolean;
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
  prefillLeft: number;
  emitted: number;
}

/**
 * An engine that batches continuously: each step prefills some prompt tokens and decodes one token
 * of every call in the batch, and takes longer the more it does. It reads no clock.
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

  get busy(): boolean {
    return this.running + this.waiting > 0;
  }

  add(call: EngineCall): void {
    const at = this.#waiting.findIndex((other) => other.priority > call.priority);
    this.#waiting.splice(at < 0 ? this.#waiting.length : at, 0, call);
  }

  /** Takes a call out of the queue or the batch. */
  cancel(id: string): void {
    this.#waiting = this.#waiting.filter((call) => call.id !== id);
    const running = this.#running.find((entry) => entry.call.id === id);
    if (running !== undefined) this.#finish(running);
  }

  /** Does one step; its emissions are due when its time has passed. */
  step(): StepResult {
    this.#admit();
    const prefilled = this.#prefill();
    const decoding = this.#running.filter((entry) => entry.prefillLeft === 0);
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
      const cachedTokens = this.cache.match(keys) * this.#blockTokens;
      const fits = this.cache.pin(keys, call.owner);
      if (!fits && this.#running.length > 0) return;
      this.#waiting.shift();
      const prefillLeft = call.prompt.length - cachedTokens;
      this.#running.push({ call, keys: fits ? keys : [], cachedTokens, prefillLeft, emitted: 0 });
    }
  }

  #prefill(): number {
    let budget = this.#prefillTokensPerStep;
    for (const entry of this.#running) {
      const tokens = Math.min(entry.prefillLeft, budget);
      entry.prefillLeft -= tokens;
      budget -= tokens;
    }
    return this.#prefillTokensPerStep - budget;
  }

  #decode(entry: RunningCall): Emission {
    const { call, cachedTokens } = entry;
    const token = call.output[entry.emitted] ?? '';
    entry.emitted += 1;
    const last = entry.emitted >= call.output.length;
    if (last) this.#finish(entry);
    return { id: call.id, token, last, cachedTokens };
  }

  #finish(entry: RunningCall): void {
    this.#running = this.#running.filter((other) => other !== entry);
    this.cache.unpin(entry.keys);
  }
}
