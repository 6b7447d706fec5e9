import type { Clock } from '../../core';
import type { EventClock } from './event-clock';

export interface SimulatedProcessOptions {
  readonly name: string;
  readonly address: string;
  readonly clock: EventClock;
  /** Difference between the host's wall clock and the simulated time; milliseconds. */
  readonly wallClockOffset?: () => number;
}

/** One run of a process: nothing of it happens while it is frozen, or after its end. */
export class SimulatedProcess {
  readonly name: string;
  readonly address: string;
  readonly clock: Clock;
  #running = true;
  #frozen = false;
  #deferred: (() => void)[] = [];

  constructor({ name, address, clock, wallClockOffset = () => 0 }: SimulatedProcessOptions) {
    this.name = name;
    this.address = address;
    this.clock = {
      now: () => clock.now() + wallClockOffset(),
      monotonic: () => clock.monotonic(),
      after: (milliseconds, action) => {
        let cancelled = false;
        const cancel = clock.after(milliseconds, () => {
          this.run(() => {
            if (!cancelled) action();
          });
        });
        return () => {
          cancelled = true;
          cancel();
        };
      },
    };
  }

  get isRunning(): boolean {
    return this.#running;
  }

  get isResponsive(): boolean {
    return this.#running && !this.#frozen;
  }

  /** Runs `action` now, or once the process is thawed, or never if it has ended. */
  run(action: () => void): void {
    if (!this.#running) return;
    if (this.#frozen) this.#deferred.push(action);
    else action();
  }

  freeze(): void {
    this.#frozen = true;
  }

  thaw(): void {
    this.#frozen = false;
    for (const action of this.#deferred.splice(0)) this.run(action);
  }

  end(): void {
    this.#running = false;
    this.#deferred = [];
  }
}
