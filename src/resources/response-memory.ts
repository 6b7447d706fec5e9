import { type CancelTimer, type Clock, repeat } from '../core';
import {
  READ_BYTES,
  ResponseAccount,
  type ResponseAccountOptions,
  type ResponseMemoryAccess,
  SMALL_BYTES,
} from './response-account';

export interface ResponseMemoryOptions {
  /** Bytes that all responses may hold together before those that arrive have to wait. */
  readonly capacityBytes: number;
  /** Responses that may wait at once. */
  readonly waitingLimit: number;
  readonly clock: Clock;
  /** Called whenever a response has to wait. */
  readonly onWaiting?: () => void;
}

const CHECK_INTERVAL_MILLISECONDS = 250;

/**
 * Checks in a row without progress after which a response is given up if others wait for its memory.
 * Checks are counted and not time, which also passes while the process is paused.
 */
const STILL_CHECKS = 8;

/** Part of a response above the capacity that its caller has to read in as many checks. */
const READ_SHARE = 1 / 5;

/** Share of the capacity up to which a response is not given up, as it would free little. */
const LARGE_SHARE = 1 / 16;

/**
 * Memory of the responses that a process receives from targets and holds until its callers have read
 * them. A response without room waits, in the order of arrival, and its connection is not read
 * meanwhile. The oldest one that waits may exceed the capacity, one at a time: otherwise responses
 * that have arrived in part would wait for each other. It is given up if others wait and its caller
 * does not read it in time.
 */
export class ResponseMemory {
  readonly #options: ResponseMemoryOptions;
  /** In the order of arrival. */
  readonly #accounts = new Set<ResponseAccount>();
  readonly #access: ResponseMemoryAccess = {
    reserve: (account) => this.#reserve(account),
    use: (bytes) => {
      this.#usedBytes += bytes;
    },
    release: (bytes) => {
      this.#usedBytes -= bytes;
      this.#scheduleGrant();
    },
    close: (account) => {
      this.#accounts.delete(account);
      if (this.#exceeding === account) this.#exceeding = undefined;
      this.#scheduleGrant();
    },
  };
  /** The account that may exceed the capacity. */
  #exceeding: ResponseAccount | undefined;
  #usedBytes = 0;
  #waitedCount = 0;
  #revokedCount = 0;
  /** How the caller of the response above the capacity reads it, while others wait. */
  #reading: ObservedReading | undefined;
  #isGrantScheduled = false;
  #cancelCheck: CancelTimer | undefined;

  constructor(options: ResponseMemoryOptions) {
    this.#options = options;
  }

  get capacityBytes(): number {
    return this.#options.capacityBytes;
  }

  /** Includes what responses may read without asking again. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Responses that wait at present. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Times that a response had to wait. */
  get waitedCount(): number {
    return this.#waitedCount;
  }

  /** Responses that were given up. */
  get revokedCount(): number {
    return this.#revokedCount;
  }

  open(options: ResponseAccountOptions): ResponseAccount {
    const account = new ResponseAccount(options, this.#access);
    this.#accounts.add(account);
    return account;
  }

  /** In the order of arrival. */
  get #waiting(): readonly ResponseAccount[] {
    return [...this.#accounts].filter(({ isWaiting }) => isWaiting);
  }

  /** Reserves the next read of a response; returns false if the response has to wait for it. */
  #reserve(account: ResponseAccount): boolean {
    if (account === this.#exceeding || this.#canPass(account)) {
      this.#usedBytes += READ_BYTES;
      return true;
    }
    this.#waitedCount += 1;
    this.#options.onWaiting?.();
    this.#scheduleGrant();
    return false;
  }

  /** Whether there is room for the next read that no older response waits for. */
  #canPass(account: ResponseAccount): boolean {
    if (!this.#hasRoom) return false;
    for (const other of this.#accounts) {
      if (other === account) return true;
      if (other.isWaiting) return false;
    }
    return true;
  }

  get #hasRoom(): boolean {
    return this.#usedBytes + READ_BYTES <= this.#options.capacityBytes;
  }

  /** The bytes that wait in the buffers of connections are bounded by the number of responses. */
  #limitWaiting(): void {
    const excess = this.#waiting.slice(this.#options.waitingLimit);
    for (const account of excess) this.#revoke(account);
  }

  /** Holders resume their connections, which must not happen while another one is being read. */
  #scheduleGrant(): void {
    if (this.#isGrantScheduled) return;
    this.#isGrantScheduled = true;
    queueMicrotask(() => {
      this.#isGrantScheduled = false;
      this.#limitWaiting();
      this.#grantWaiting();
    });
  }

  #grantWaiting(): void {
    for (const account of this.#waiting) {
      if (!account.isWaiting) continue;
      const mayExceed = this.#exceeding === undefined || this.#exceeding === account;
      if (!this.#hasRoom && !mayExceed) break;
      if (!this.#hasRoom) this.#exceeding = account;
      this.#usedBytes += READ_BYTES;
      account.grant(READ_BYTES);
    }
    this.#scheduleCheck();
  }

  #scheduleCheck(): void {
    const isWaiting = this.#waiting.length > 0;
    if (isWaiting && this.#cancelCheck === undefined) {
      this.#cancelCheck = repeat(this.#options.clock, CHECK_INTERVAL_MILLISECONDS, () => {
        this.#revokeStill();
        this.#revokeSlowlyRead();
      });
    } else if (!isWaiting) {
      this.#cancelCheck?.();
      this.#cancelCheck = undefined;
      this.#reading = undefined;
    }
  }

  /** Gives up the largest response that makes no progress, although it does not wait. */
  #revokeStill(): void {
    const leastBytes = Math.max(SMALL_BYTES, this.#options.capacityBytes * LARGE_SHARE);
    let largest: ResponseAccount | undefined;
    for (const account of this.#accounts) {
      const isStill = account.countCheck() >= STILL_CHECKS;
      if (isStill && account.bytes > (largest?.bytes ?? leastBytes)) largest = account;
    }
    if (largest !== undefined) this.#revoke(largest);
  }

  /** Gives up a whole response above the capacity whose caller reads it too slowly. */
  #revokeSlowlyRead(): void {
    const account = this.#exceeding;
    if (account?.isComplete !== true || this.#usedBytes <= this.#options.capacityBytes) {
      this.#reading = undefined;
      return;
    }
    if (this.#reading?.account !== account) {
      this.#reading = { account, bytesBefore: account.bytes, checks: 0 };
    }
    const { bytesBefore, checks } = this.#reading;
    this.#reading = { account, bytesBefore, checks: checks + 1 };
    if (this.#reading.checks < STILL_CHECKS) return;
    this.#reading = undefined;
    if (account.bytes > bytesBefore * (1 - READ_SHARE)) this.#revoke(account);
  }

  #revoke(account: ResponseAccount): void {
    this.#revokedCount += 1;
    account.revoke();
  }
}

interface ObservedReading {
  readonly account: ResponseAccount;
  readonly bytesBefore: number;
  readonly checks: number;
}
