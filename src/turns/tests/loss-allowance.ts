import type { Clock } from '../../core';

/** Time after its return for which a store counts as lost, as stated by the deployments. */
const CATCH_UP_MILLISECONDS = 4300;

export interface LossRules {
  /** Whether more stores may be lost than tolerated, as long as their disks remain. */
  readonly outagesOverlap: boolean;
  /** Whether all power may be lost while stores are lost already. */
  readonly powerWhileLost: boolean;
  /** Whether disks may be lost, as many at a time as tolerated; otherwise only power is. */
  readonly lostDisks: boolean;
  /** Whether the hosts that keep data may be cut into two halves. */
  readonly halves: boolean;
}

/** Which losses the promise allows: at most the tolerated number of stores at a time. */
export class LossAllowance {
  readonly #clock: Clock;
  readonly #toleratedLosses: number;
  readonly #rules: LossRules;
  readonly #lostUntil = new Map<string, number>();
  readonly #diskLostUntil = new Map<string, number>();
  #halvedUntil = 0;

  constructor(clock: Clock, toleratedLosses: number, rules: LossRules) {
    this.#clock = clock;
    this.#toleratedLosses = toleratedLosses;
    this.#rules = rules;
  }

  get allowsLostDisks(): boolean {
    return this.#rules.lostDisks;
  }

  get maxLostAtOnce(): number {
    return this.#rules.outagesOverlap ? Infinity : this.#toleratedLosses;
  }

  /** Takes the loss of stores for a time into account, if it is allowed. */
  lose(stores: readonly string[], milliseconds: number, disks: boolean): boolean {
    const now = this.#clock.monotonic();
    if (this.#halvedUntil > now) return false;
    const lost = union(active(this.#lostUntil, now), stores);
    if (!this.#rules.outagesOverlap && lost.size > this.#toleratedLosses) return false;
    if (disks && !this.#mayLoseDisks(stores)) return false;
    this.#add(stores, now + milliseconds, disks);
    return true;
  }

  /** Takes an end of all processes into account, if it is allowed. */
  loseAll(all: readonly string[], wiped: readonly string[], milliseconds: number): boolean {
    const now = this.#clock.monotonic();
    if (this.#halvedUntil > now) return false;
    const lost = union(active(this.#lostUntil, now), wiped);
    if (!this.#rules.powerWhileLost && lost.size > this.#toleratedLosses) return false;
    if (!this.#mayLoseDisks(wiped)) return false;
    this.#add(all, now + milliseconds, false);
    this.#add(wiped, now + milliseconds, true);
    return true;
  }

  /** Takes a cut into halves into account, if it is allowed; no store counts as lost. */
  halve(milliseconds: number): boolean {
    const now = this.#clock.monotonic();
    if (!this.#rules.halves || active(this.#lostUntil, now).length > 0) return false;
    if (this.#halvedUntil > now) return false;
    this.#halvedUntil = now + milliseconds + CATCH_UP_MILLISECONDS;
    return true;
  }

  #mayLoseDisks(stores: readonly string[]): boolean {
    const lost = union(active(this.#diskLostUntil, this.#clock.monotonic()), stores);
    return lost.size <= this.#toleratedLosses;
  }

  #add(stores: readonly string[], until: number, disks: boolean): void {
    const end = until + CATCH_UP_MILLISECONDS;
    for (const store of stores) {
      this.#lostUntil.set(store, Math.max(end, this.#lostUntil.get(store) ?? 0));
      if (disks) this.#diskLostUntil.set(store, Math.max(end, this.#diskLostUntil.get(store) ?? 0));
    }
    this.#extendLostDisks();
  }

  /** A lost disk counts until all other outages have ended, as the store can't catch up before. */
  #extendLostDisks(): void {
    const now = this.#clock.monotonic();
    const end = Math.max(...this.#lostUntil.values());
    for (const store of active(this.#diskLostUntil, now)) this.#diskLostUntil.set(store, end);
  }
}

function active(until: ReadonlyMap<string, number>, now: number): readonly string[] {
  return [...until].filter(([, end]) => end > now).map(([name]) => name);
}

function union(left: readonly string[], right: readonly string[]): ReadonlySet<string> {
  return new Set([...left, ...right]);
}
