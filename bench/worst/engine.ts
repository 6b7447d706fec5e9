import type { PromptPart } from '../../src/targets';
import type { SimulatedClock } from './simulated-clock';

/** Speed and capacity of a simulated engine. */
export interface EngineParameters {
  readonly slots: number;
  /** Capacity for the tokens of all running requests and cached parts together. */
  readonly memoryTokens: number;
  /** Duration of a step without requests. */
  readonly stepMilliseconds: number;
  /** Addition to the duration of a step for each running request. */
  readonly stepMillisecondsPerRequest: number;
  readonly prefillTokensPerMillisecond: number;
  /** Maximum of prompt tokens that one step processes. */
  readonly prefillChunkTokens: number;
}

export const REFERENCE_ENGINE: EngineParameters = {
  slots: 6,
  memoryTokens: 71_792,
  stepMilliseconds: 4.63,
  stepMillisecondsPerRequest: 0.153,
  prefillTokensPerMillisecond: 37.9,
  prefillChunkTokens: 2048,
};

export interface EngineRequest {
  readonly parts: readonly PromptPart[];
  readonly outputTokens: number;
  /** 0 is the most urgent; requests of equal priority are admitted in the order of arrival. */
  readonly priority: number;
  readonly onEnd: () => void;
}

interface RunningRequest {
  readonly request: EngineRequest;
  /** Prompt tokens that are still to be processed. */
  uncachedTokens: number;
  generatedTokens: number;
}

/** An engine in simulated time with continuous batching, chunked prefill and a prefix cache. */
export class SimulatedEngine {
  readonly #parameters: EngineParameters;
  readonly #clock: SimulatedClock;
  readonly #waiting: EngineRequest[] = [];
  readonly #running = new Set<RunningRequest>();
  /** Tokens by id of the prompt part, in LRU order: the most recently used last. */
  readonly #cache = new Map<string, number>();
  #cachedTokens = 0;
  #isStepping = false;
  /** Multiplies the duration of each step. */
  stepTimeFactor = 1;
  prefilledTokens = 0;
  /** Maximum of the requests that waited for a slot at once. */
  mostWaiting = 0;

  constructor(engineParameters: EngineParameters, clock: SimulatedClock) {
    this.#parameters = engineParameters;
    this.#clock = clock;
  }

  send(request: EngineRequest): void {
    const next = this.#waiting.findIndex(({ priority }) => priority > request.priority);
    this.#waiting.splice(next < 0 ? this.#waiting.length : next, 0, request);
    this.mostWaiting = Math.max(this.mostWaiting, this.#waiting.length);
    this.#step();
  }

  #step(): void {
    if (this.#isStepping) return;
    this.#admit();
    if (this.#running.size === 0) return;
    this.#isStepping = true;
    const { stepMilliseconds, stepMillisecondsPerRequest, prefillTokensPerMillisecond } =
      this.#parameters;
    const prefilled = this.#prefill();
    const duration =
      stepMilliseconds +
      stepMillisecondsPerRequest * this.#running.size +
      prefilled / prefillTokensPerMillisecond;
    this.#clock.after(duration * this.stepTimeFactor, () => {
      this.#isStepping = false;
      this.#generate();
      this.#step();
    });
  }

  #admit(): void {
    while (this.#running.size < this.#parameters.slots) {
      const request = this.#waiting.shift();
      if (request === undefined) return;
      this.#running.add({
        request,
        uncachedTokens: this.#uncachedTokensOf(request.parts),
        generatedTokens: 0,
      });
    }
  }

  #uncachedTokensOf(parts: readonly PromptPart[]): number {
    let isPrefixCached = true;
    let uncachedTokens = 0;
    for (const { id, tokens } of parts) {
      const cached = isPrefixCached ? Math.min(this.#cache.get(id) ?? 0, tokens) : 0;
      uncachedTokens += tokens - cached;
      if (cached < tokens) isPrefixCached = false;
    }
    return uncachedTokens;
  }

  /** Processes a chunk of the oldest prompt with tokens left; returns the number of tokens. */
  #prefill(): number {
    for (const running of this.#running) {
      if (running.uncachedTokens === 0) continue;
      const chunk = Math.min(running.uncachedTokens, this.#parameters.prefillChunkTokens);
      running.uncachedTokens -= chunk;
      this.prefilledTokens += chunk;
      return chunk;
    }
    return 0;
  }

  #generate(): void {
    for (const running of [...this.#running]) {
      if (running.uncachedTokens > 0) continue;
      running.generatedTokens += 1;
      if (running.generatedTokens < running.request.outputTokens) continue;
      this.#running.delete(running);
      this.#cacheParts(running.request);
      running.request.onEnd();
    }
  }

  #cacheParts({ parts, outputTokens }: EngineRequest): void {
    parts.forEach(({ id, tokens }, index) => {
      this.#evict(id);
      const cached = index === parts.length - 1 ? tokens + outputTokens : tokens;
      this.#cache.set(id, cached);
      this.#cachedTokens += cached;
    });
    const inUse = [...this.#running].reduce((sum, { request }) => sum + tokensOf(request), 0);
    for (const id of this.#cache.keys()) {
      if (this.#cachedTokens + inUse <= this.#parameters.memoryTokens) break;
      this.#evict(id);
    }
  }

  #evict(id: string): void {
    this.#cachedTokens -= this.#cache.get(id) ?? 0;
    this.#cache.delete(id);
  }
}

function tokensOf({ parts, outputTokens }: EngineRequest): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, outputTokens);
}
