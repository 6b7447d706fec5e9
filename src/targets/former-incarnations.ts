import type { ListedTarget } from './target';

/**
 * Time for which the start of a removed target is kept. Delayed lists are younger: one from another
 * gateway is at most 1.4 s old. A server whose clock was set back can return after this time.
 */
const RETENTION_MILLISECONDS = 60_000;

interface FormerIncarnation {
  readonly bornAt: number;
  /** Monotonic milliseconds. */
  readonly lastSeenAt: number;
}

/** Starts of targets that were removed, so that a delayed list does not bring back earlier runs. */
export class FormerIncarnations {
  /** By target id, least recently seen first. */
  readonly #byId = new Map<string, FormerIncarnation>();

  record({ id, bornAt }: ListedTarget, now: number): void {
    if (bornAt !== undefined) this.#keep(id, bornAt, now);
  }

  /** Whether an entry names a run before the removed one; such an entry extends the retention. */
  isEarlier({ id, bornAt }: ListedTarget, now: number): boolean {
    this.#expire(now);
    const former = this.#byId.get(id);
    if (former === undefined || bornAt === undefined || bornAt >= former.bornAt) return false;
    this.#keep(id, former.bornAt, now);
    return true;
  }

  #keep(id: string, bornAt: number, now: number): void {
    this.#byId.delete(id);
    this.#byId.set(id, { bornAt, lastSeenAt: now });
  }

  #expire(now: number): void {
    for (const [id, { lastSeenAt }] of this.#byId) {
      if (now - lastSeenAt < RETENTION_MILLISECONDS) break;
      this.#byId.delete(id);
    }
  }
}
