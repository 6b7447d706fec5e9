import type { NodeInfo } from '../cluster';
import type { Clock, Logger } from '../core';
import { type CoordinatorOptions, selectCoordinator } from './coordinator';

/** Time without a message after which a coordinator is excluded, and duration of the exclusion. */
const COORDINATOR_TIMEOUT = {
  withoutMessageMilliseconds: 600,
  exclusionMilliseconds: 2000,
} as const;

export interface CoordinatorSelectorOptions extends Omit<CoordinatorOptions, 'excluded'> {
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Selects the coordinator of the exchanges between gateways, and excludes one that sends nothing: a
 * suspended process keeps its connections open. The exchanges share one selector, since the load
 * reports arrive often enough to detect this while the other messages may be rare.
 */
export class CoordinatorSelector {
  readonly #options: CoordinatorSelectorOptions;
  readonly #excludedUntil = new Map<string, number>();
  readonly #changeListeners: (() => void)[] = [];
  #current: string | undefined;
  /** Time of the last message of the coordinator, or of its selection. */
  #lastMessageAt = 0;

  constructor(options: CoordinatorSelectorOptions) {
    this.#options = options;
  }

  /** The listener is called when another coordinator was selected. */
  onChange(listener: () => void): void {
    this.#changeListeners.push(listener);
  }

  select(): NodeInfo {
    const { clock, logger } = this.#options;
    const now = clock.monotonic();
    this.#excludeUnresponsive(now);
    const excluded = new Set<string>();
    for (const [name, until] of this.#excludedUntil) if (until > now) excluded.add(name);
    const coordinator = selectCoordinator({ ...this.#options, excluded });
    if (coordinator.name !== this.#current) {
      logger.info({ event: 'load-coordinator', coordinator: coordinator.name });
      this.#current = coordinator.name;
      this.#lastMessageAt = now;
      for (const listener of this.#changeListeners) listener();
    }
    return coordinator;
  }

  /** Returns whether the sender of a message is the selected coordinator, and records the message. */
  acceptFrom(sender: string): boolean {
    if (sender !== this.#current) return false;
    this.#lastMessageAt = this.#options.clock.monotonic();
    return true;
  }

  #excludeUnresponsive(now: number): void {
    const { self } = this.#options;
    if (this.#current === undefined || this.#current === self.name) return;
    if (now - this.#lastMessageAt < COORDINATOR_TIMEOUT.withoutMessageMilliseconds) return;
    this.#excludedUntil.set(this.#current, now + COORDINATOR_TIMEOUT.exclusionMilliseconds);
  }
}
