import {
  type CancelTimer,
  type Clock,
  type Component,
  type Logger,
  type RandomSource,
  messageOf,
} from '../core';
import { ServiceTargets } from './service-targets';
import { TargetState } from './state';
import type { ListedTarget, TargetSource } from './target';

/**
 * Pause between two readings of the list. A leaving target must be known within 3 s, and what
 * another gateway tells may be two pauses old. Milliseconds.
 */
const READ_MILLISECONDS = 700;

/** Pause after a reading that failed; milliseconds. */
const RETRY_MILLISECONDS = 250;

/** Shares of the pause by which processes are kept from reading at the same time. */
const SPREAD = { least: 0.9, more: 0.2 };

export interface TargetDirectoryOptions {
  readonly source: TargetSource;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** The targets that the platform lists, with what this process knows of each. */
export class TargetDirectory implements Component {
  readonly #options: TargetDirectoryOptions;
  readonly #targets = new Map<string, TargetState>();
  readonly #removalListeners: ((state: TargetState) => void)[] = [];
  /** Targets that take new work, by service; made anew after each reading of the list. */
  readonly #byService = new Map<string, ServiceTargets>();
  #stopped = false;
  #loaded = false;
  #takenAt = -Infinity;
  #loadsHeardAt = -Infinity;
  #reading = true;
  #cancel: CancelTimer = () => undefined;

  constructor(options: TargetDirectoryOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
    this.#cancel();
  }

  /** Whether the list was read at least once. */
  get isLoaded(): boolean {
    return this.#loaded;
  }

  /** Targets of a service that take new work, those that failed lately included. */
  ofService(service: string): ServiceTargets {
    const known = this.#byService.get(service);
    if (known !== undefined) return known;
    const states = [...this.#targets.values()].filter(
      ({ target }) => target.service === service && !target.draining,
    );
    const targets = new ServiceTargets(states);
    this.#byService.set(service, targets);
    return targets;
  }

  /** Ages at `now` of the list and of the other gateways' loads; milliseconds. */
  agesAt(now: number): { readonly list: number; readonly loads: number } {
    return { list: now - this.#takenAt, loads: now - this.#loadsHeardAt };
  }

  /** Notes that the other gateways' loads are as of now. */
  noteLoads(): void {
    this.#loadsHeardAt = this.#options.clock.monotonic();
  }

  get(id: string): TargetState | undefined {
    return this.#targets.get(id);
  }

  all(): Iterable<TargetState> {
    return this.#targets.values();
  }

  /** Told of each target that is listed no more or begins to leave. */
  onLeaving(listener: (state: TargetState) => void): void {
    this.#removalListeners.push(listener);
  }

  /** Takes a whole list. */
  take(list: readonly ListedTarget[]): void {
    const { clock, logger } = this.#options;
    this.#loaded = true;
    this.#takenAt = clock.monotonic();
    this.#byService.clear();
    const ids = new Set(list.map(({ id }) => id));
    for (const [id, state] of this.#targets) {
      if (ids.has(id)) continue;
      this.#targets.delete(id);
      logger.info({ event: 'target-gone', target: id, address: state.target.address });
      this.#tellLeaving(state);
    }
    for (const target of list) {
      const state = this.#targets.get(target.id);
      if (state === undefined) {
        this.#targets.set(target.id, new TargetState(target, clock));
        const { id, service, address, draining } = target;
        logger.info({ event: 'target-listed', target: id, service, address, draining });
        continue;
      }
      const leaves = target.draining && !state.target.draining;
      state.target = target;
      if (!leaves) continue;
      logger.info({ event: 'target-draining', target: target.id, address: target.address });
      this.#tellLeaving(state);
    }
  }

  #tellLeaving(state: TargetState): void {
    for (const listener of this.#removalListeners) listener(state);
  }

  async #run(): Promise<void> {
    const { clock, random } = this.#options;
    const read = await this.#read();
    if (this.#stopped) return;
    const pause = read ? READ_MILLISECONDS : RETRY_MILLISECONDS;
    const spread = SPREAD.least + SPREAD.more * random.fraction();
    this.#cancel = clock.after(pause * spread, () => void this.#run());
  }

  async #read(): Promise<boolean> {
    const { source, logger } = this.#options;
    try {
      this.take(await source.list());
      if (!this.#reading) logger.info({ event: 'target-list-regained' });
      this.#reading = true;
      return true;
    } catch (error) {
      if (this.#reading) logger.warn({ event: 'target-list-lost', error: messageOf(error) });
      this.#reading = false;
      return false;
    }
  }
}
