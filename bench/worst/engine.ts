import type { PromptPart } from '../../src/targets';
import type { Calendar } from './calendar';

/** How fast an engine is, and how much it holds. Times in milliseconds. */
export interface EngineFacts {
  readonly slots: number;
  /** Tokens of all running requests and cached parts together. */
  readonly memoryTokens: number;
  readonly stepTime: number;
  /** What each running request adds to a step. */
  readonly stepTimePerRequest: number;
  readonly tokensReadPerMillisecond: number;
  /** Tokens of prompts that one step reads at most. */
  readonly chunkTokens: number;
}

/** The carriers' engines, as their pages describe them. */
export const CARRIER_ENGINE: EngineFacts = {
  slots: 6,
  memoryTokens: 71_792,
  stepTime: 4.63,
  stepTimePerRequest: 0.153,
  tokensReadPerMillisecond: 37.9,
  chunkTokens: 2048,
};

export interface EngineRequest {
  readonly parts: readonly PromptPart[];
  /** Tokens to generate. */
  readonly outputTokens: number;
  readonly onEnd: () => void;
}

interface Running {
  readonly request: EngineRequest;
  unread: number;
  generated: number;
}

/** An engine in simulated time: it batches, reads prompts piece by piece and caches their parts. */
export class SimulatedEngine {
  readonly #facts: EngineFacts;
  readonly #calendar: Calendar;
  readonly #waiting: EngineRequest[] = [];
  readonly #running = new Set<Running>();
  /** Tokens by part, the latest used last. */
  readonly #cache = new Map<string, number>();
  #cachedTokens = 0;
  #isStepping = false;
  /** How many times longer each step takes. */
  slowness = 1;
  tokensRead = 0;

  constructor(facts: EngineFacts, calendar: Calendar) {
    this.#facts = facts;
    this.#calendar = calendar;
  }

  send(request: EngineRequest): void {
    this.#waiting.push(request);
    this.#step();
  }

  #step(): void {
    if (this.#isStepping) return;
    this.#admit();
    if (this.#running.size === 0) return;
    this.#isStepping = true;
    const { stepTime, stepTimePerRequest, tokensReadPerMillisecond } = this.#facts;
    const read = this.#read();
    const time =
      stepTime + stepTimePerRequest * this.#running.size + read / tokensReadPerMillisecond;
    this.#calendar.after(time * this.slowness, () => {
      this.#isStepping = false;
      this.#generate();
      this.#step();
    });
  }

  #admit(): void {
    while (this.#running.size < this.#facts.slots) {
      const request = this.#waiting.shift();
      if (request === undefined) return;
      this.#running.add({ request, unread: this.#unreadOf(request.parts), generated: 0 });
    }
  }

  #unreadOf(parts: readonly PromptPart[]): number {
    let isHeld = true;
    let unread = 0;
    for (const { id, tokens } of parts) {
      const held = isHeld ? Math.min(this.#cache.get(id) ?? 0, tokens) : 0;
      unread += tokens - held;
      if (held < tokens) isHeld = false;
    }
    return unread;
  }

  /** Reads a chunk of the oldest prompt that is not read whole. */
  #read(): number {
    for (const running of this.#running) {
      if (running.unread === 0) continue;
      const read = Math.min(running.unread, this.#facts.chunkTokens);
      running.unread -= read;
      this.tokensRead += read;
      return read;
    }
    return 0;
  }

  #generate(): void {
    for (const running of [...this.#running]) {
      if (running.unread > 0) continue;
      running.generated += 1;
      if (running.generated < running.request.outputTokens) continue;
      this.#running.delete(running);
      this.#keep(running.request);
      running.request.onEnd();
    }
  }

  #keep({ parts, outputTokens }: EngineRequest): void {
    parts.forEach(({ id, tokens }, index) => {
      this.#forget(id);
      const held = index === parts.length - 1 ? tokens + outputTokens : tokens;
      this.#cache.set(id, held);
      this.#cachedTokens += held;
    });
    const inUse = [...this.#running].reduce((sum, { request }) => sum + tokensOf(request), 0);
    for (const id of this.#cache.keys()) {
      if (this.#cachedTokens + inUse <= this.#facts.memoryTokens) break;
      this.#forget(id);
    }
  }

  #forget(id: string): void {
    this.#cachedTokens -= this.#cache.get(id) ?? 0;
    this.#cache.delete(id);
  }
}

function tokensOf({ parts, outputTokens }: EngineRequest): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, outputTokens);
}
