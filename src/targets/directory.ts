import {
  type CancelTimer,
  type Clock,
  type Component,
  type Logger,
  type RandomSource,
  messageOf,
} from '../core';
import { FormerIncarnations } from './former-incarnations';
import { compareIncarnations, selectTargets } from './incarnation';
import { ServiceTargets } from './service-targets';
import { TargetState } from './state';
import type { ListedTarget, TargetEnd, TargetSource } from './target';

/**
 * Interval between reads of the target list. A draining target must be noticed within 3 s, and a
 * list from another gateway may be two intervals old.
 */
const READ_INTERVAL_MILLISECONDS = 700;

/** Interval after a failed read. */
const RETRY_INTERVAL_MILLISECONDS = 250;

/** Random factor of the interval, which prevents processes from reading at the same time. */
const INTERVAL_JITTER = { minimum: 0.9, range: 0.2 };

export interface TargetDirectoryOptions {
  readonly source: TargetSource;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Targets on the platform's list, with the state that this process keeps for each. */
export class TargetDirectory implements Component {
  readonly #options: TargetDirectoryOptions;
  readonly #targets = new Map<string, TargetState>();
  readonly #formerIncarnations = new FormerIncarnations();
  readonly #drainingListeners: ((state: TargetState) => void)[] = [];
  readonly #endListeners: ((state: TargetState, end: TargetEnd) => void)[] = [];
  /** Targets that accept new requests, by service; rebuilt after each update of the list. */
  readonly #byService = new Map<string, ServiceTargets>();
  #stopped = false;
  #loaded = false;
  #listUpdatedAt = -Infinity;
  #loadsUpdatedAt = -Infinity;
  #isSourceAvailable = true;
  #cancelTimer: CancelTimer = () => undefined;

  constructor(options: TargetDirectoryOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
    this.#cancelTimer();
  }

  /** Whether the list was received at least once. */
  get isLoaded(): boolean {
    return this.#loaded;
  }

  /** Targets of a service that are not draining, including paused ones. */
  ofService(service: string): ServiceTargets {
    const cached = this.#byService.get(service);
    if (cached !== undefined) return cached;
    const states = [...this.#targets.values()].filter(
      ({ target }) => target.service === service && !target.draining,
    );
    const targets = new ServiceTargets(states);
    this.#byService.set(service, targets);
    return targets;
  }

  /** Ages of the target list and of the loads of other gateways at `now`; milliseconds. */
  agesAt(now: number): { readonly list: number; readonly loads: number } {
    return { list: now - this.#listUpdatedAt, loads: now - this.#loadsUpdatedAt };
  }

  /** Records that the loads of other gateways were updated just now. */
  markLoadsUpdated(): void {
    this.#loadsUpdatedAt = this.#options.clock.monotonic();
  }

  get(id: string): TargetState | undefined {
    return this.#targets.get(id);
  }

  all(): Iterable<TargetState> {
    return this.#targets.values();
  }

  /**
   * The listener is called with each target that was removed from the list, has restarted or starts
   * draining.
   */
  onDraining(listener: (state: TargetState) => void): void {
    this.#drainingListeners.push(listener);
  }

  /** The listener is called with each target that ended without having been drained. */
  onEnded(listener: (state: TargetState, end: TargetEnd) => void): void {
    this.#endListeners.push(listener);
  }

  /**
   * Replaces the targets by those of a complete list. An entry of an earlier run of a target changes
   * nothing: it comes from another writer or a delayed list.
   */
  update(list: readonly ListedTarget[]): void {
    const { clock, logger } = this.#options;
    this.#loaded = true;
    this.#listUpdatedAt = clock.monotonic();
    this.#byService.clear();
    const targets = selectTargets(list);
    const ids = new Set(targets.map(({ id }) => id));
    const addresses = new Set(targets.map(({ address }) => address));
    for (const [id, state] of this.#targets) {
      if (ids.has(id)) continue;
      logger.info({ event: 'target-gone', target: id, address: state.target.address });
      this.#formerIncarnations.record(state.target, clock.monotonic());
      this.#retire(state, { kind: addresses.has(state.target.address) ? 'replaced' : 'gone' });
    }
    for (const target of targets) this.#apply(target);
  }

  #apply(target: ListedTarget): void {
    const { clock, logger } = this.#options;
    const { id, service, address, draining, bornAt } = target;
    const state = this.#targets.get(id);
    const isEarlier = this.#formerIncarnations.isEarlier(target, clock.monotonic());
    const order = state === undefined ? 'newer' : compareIncarnations(state.incarnation, bornAt);
    if (isEarlier || order === 'older') {
      logger.debug({ event: 'target-entry-outdated', target: id, address, born: bornAt });
    } else if (state === undefined) {
      logger.info({ event: 'target-listed', target: id, service, address, draining });
      this.#targets.set(id, new TargetState(target, clock));
    } else if (order === 'newer') {
      const previousBorn = state.target.bornAt;
      logger.info({ event: 'target-restarted', target: id, address, born: bornAt, previousBorn });
      this.#retire(state, { kind: 'restarted', bornAt });
      this.#targets.set(id, new TargetState(target, clock));
    } else {
      this.#refresh(state, target);
    }
  }

  /** Applies an entry of the same run. */
  #refresh(state: TargetState, target: ListedTarget): void {
    const startsDraining = target.draining && !state.target.draining;
    const { bornAt = state.target.bornAt } = target;
    state.target = bornAt === undefined ? target : { ...target, bornAt };
    if (!startsDraining) return;
    const { id, address } = target;
    this.#options.logger.info({ event: 'target-draining', target: id, address });
    this.#notifyDraining(state);
  }

  #retire(state: TargetState, end: TargetEnd): void {
    this.#targets.delete(state.target.id);
    state.isRetired = true;
    this.#notifyDraining(state);
    if (state.target.draining) return;
    state.end = end;
    for (const listener of this.#endListeners) listener(state, end);
  }

  #notifyDraining(state: TargetState): void {
    for (const listener of this.#drainingListeners) listener(state);
  }

  async #run(): Promise<void> {
    const { clock, random } = this.#options;
    const wasRead = await this.#read();
    if (this.#stopped) return;
    const interval = wasRead ? READ_INTERVAL_MILLISECONDS : RETRY_INTERVAL_MILLISECONDS;
    const jitter = INTERVAL_JITTER.minimum + INTERVAL_JITTER.range * random.fraction();
    this.#cancelTimer = clock.after(interval * jitter, () => void this.#run());
  }

  async #read(): Promise<boolean> {
    const { source, logger } = this.#options;
    try {
      this.update(await source.list());
      if (!this.#isSourceAvailable) logger.info({ event: 'target-list-regained' });
      this.#isSourceAvailable = true;
      return true;
    } catch (error) {
      if (this.#isSourceAvailable)
        logger.warn({ event: 'target-list-lost', error: messageOf(error) });
      this.#isSourceAvailable = false;
      return false;
    }
  }
}
