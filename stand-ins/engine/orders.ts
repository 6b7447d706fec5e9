import * as z from 'zod';
import type { PrefixCache } from './cache';

const fence = z.int().nonnegative();

/**
 * Body of `POST /orders`; `fence` is the fencing token, the term of the leader that sent the order.
 */
export const engineOrderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('release-cache'), program: z.string(), fence }),
  z.object({ kind: z.literal('load-model'), model: z.string(), version: z.string(), fence }),
  z.object({ kind: z.literal('load-adapter'), adapter: z.string(), fence }),
  z.object({ kind: z.literal('unload-adapter'), adapter: z.string(), fence }),
  z.object({ kind: z.literal('set-role'), role: z.enum(['mixed', 'prefill', 'decode']), fence }),
]);
export type EngineOrder = z.output<typeof engineOrderSchema>;

/** State of the engine that orders change. */
export interface EngineState {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: 'mixed' | 'prefill' | 'decode';
}

/** Executes orders; with `checksFencing`, refuses those with an outdated fencing token. */
export class OrderExecutor {
  readonly #checksFencing: boolean;
  readonly #cache: PrefixCache;
  #highestFence = 0;
  state: EngineState;

  constructor(model: string, cache: PrefixCache, checksFencing: boolean) {
    this.#checksFencing = checksFencing;
    this.#cache = cache;
    this.state = { model, version: '1', adapters: [], role: 'mixed' };
  }

  /** Returns false if the order was refused. */
  execute(order: EngineOrder): boolean {
    if (this.#checksFencing && order.fence < this.#highestFence) return false;
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    if (order.kind === 'release-cache') this.#cache.release(order.program);
    else this.state = nextState(this.state, order);
    return true;
  }
}

function nextState(
  state: EngineState,
  order: Exclude<EngineOrder, { kind: 'release-cache' }>,
): EngineState {
  switch (order.kind) {
    case 'load-model':
      return { ...state, model: order.model, version: order.version };
    case 'load-adapter':
      return { ...state, adapters: [...new Set([...state.adapters, order.adapter])] };
    case 'unload-adapter':
      return { ...state, adapters: state.adapters.filter((name) => name !== order.adapter) };
    case 'set-role':
      return { ...state, role: order.role };
  }
}
