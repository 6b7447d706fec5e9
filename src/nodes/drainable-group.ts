import type { DrainableRequests } from '../core';

/** Drains the requests of several listeners together. */
export class DrainableGroup implements DrainableRequests {
  readonly #members: readonly DrainableRequests[];

  constructor(members: readonly DrainableRequests[]) {
    this.#members = members;
  }

  refuseNew(): void {
    for (const member of this.#members) member.refuseNew();
  }

  endRunning(): void {
    for (const member of this.#members) member.endRunning();
  }

  async whenIdle(): Promise<void> {
    await Promise.all(this.#members.map((member) => member.whenIdle()));
  }
}
