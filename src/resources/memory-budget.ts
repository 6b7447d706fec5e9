import type { Clock } from '../core';

export interface MemoryBudgetOptions {
  /** Bytes that all accounts may hold together. */
  readonly capacityBytes: number;
  /** Share of the capacity that only accounts of up to `smallBytes` may use. */
  readonly reservedShare?: number;
  readonly smallBytes?: number;
  readonly clock: Pick<Clock, 'monotonic'>;
}

export interface MemoryAccountOptions {
  /** Called at most once, when other accounts need the memory; the account is closed by then. */
  readonly onRevoked: () => void;
}

const DEFAULT_SMALL_BYTES = 16 * 1024;

/** Share of the capacity that is reserved for small accounts by default. */
const DEFAULT_RESERVED_SHARE = 0.2;

/**
 * Memory that the requests of a process may hold together. An account that cannot grow takes from
 * the one that holds the most memory for the longest time without growing. A share is reserved for
 * small accounts, so that a request of ordinary size is admitted among large ones.
 */
export class MemoryBudget {
  readonly #options: Required<MemoryBudgetOptions>;
  readonly #accounts = new Set<MemoryAccount>();
  /** Shared by all accounts. */
  readonly #access: BudgetAccess = {
    grow: (account, bytes) => this.#grow(account, bytes),
    add: (account, bytes) => {
      this.#makeRoom(account, bytes);
      this.#usedBytes += bytes;
    },
    shrink: (bytes) => {
      this.#usedBytes -= bytes;
    },
    close: (account) => {
      this.#accounts.delete(account);
    },
    now: () => this.#options.clock.monotonic(),
  };
  #capacityBytes: number;
  #usedBytes = 0;
  #refusedCount = 0;
  #revokedCount = 0;

  constructor(options: MemoryBudgetOptions) {
    this.#capacityBytes = options.capacityBytes;
    this.#options = {
      smallBytes: DEFAULT_SMALL_BYTES,
      reservedShare: DEFAULT_RESERVED_SHARE,
      ...options,
    };
  }

  get capacityBytes(): number {
    return this.#capacityBytes;
  }

  /** Makes room for one account of `bytes` beside the reserved share, if there is less. */
  ensureCapacity(bytes: number): void {
    const needed = bytes / (1 - this.#options.reservedShare);
    this.#capacityBytes = Math.max(this.#capacityBytes, needed);
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Attempts to grow that were refused. */
  get refusedCount(): number {
    return this.#refusedCount;
  }

  get revokedCount(): number {
    return this.#revokedCount;
  }

  open(options: MemoryAccountOptions): MemoryAccount {
    const account = new MemoryAccount(options, this.#access);
    this.#accounts.add(account);
    return account;
  }

  #grow(account: MemoryAccount, bytes: number): boolean {
    if (!this.#makeRoom(account, bytes)) {
      this.#refusedCount += 1;
      return false;
    }
    this.#usedBytes += bytes;
    return true;
  }

  /** Revokes accounts until there is room; returns false if none is left that should go first. */
  #makeRoom(account: MemoryAccount, bytes: number): boolean {
    while (!this.#hasRoom(account, bytes)) {
      const victim = this.#findVictim();
      if (victim === undefined || victim === account) return false;
      this.#revokedCount += 1;
      victim.revoke();
    }
    return true;
  }

  #hasRoom(account: MemoryAccount, bytes: number): boolean {
    const { reservedShare, smallBytes } = this.#options;
    const isSmall = account.bytes + bytes <= smallBytes;
    const available = this.#capacityBytes * (isSmall ? 1 : 1 - reservedShare);
    return this.#usedBytes + bytes <= available;
  }

  /** The account with the largest product of memory and time without growth. */
  #findVictim(): MemoryAccount | undefined {
    const now = this.#options.clock.monotonic();
    let victim: MemoryAccount | undefined;
    let highest = 0;
    for (const account of this.#accounts) {
      if (!account.isRevocable || account.bytes <= this.#options.smallBytes) continue;
      const weight = account.bytes * (1 + now - account.grownAt);
      if (weight <= highest) continue;
      victim = account;
      highest = weight;
    }
    return victim;
  }
}

/** What an account changes in its budget. */
interface BudgetAccess {
  readonly grow: (account: MemoryAccount, bytes: number) => boolean;
  readonly add: (account: MemoryAccount, bytes: number) => void;
  readonly shrink: (bytes: number) => void;
  readonly close: (account: MemoryAccount) => void;
  readonly now: () => number;
}

/** Memory of one request, part of a {@link MemoryBudget}. */
export class MemoryAccount {
  readonly #options: MemoryAccountOptions;
  readonly #budget: BudgetAccess;
  #bytes = 0;
  #grownAt: number;
  #isPinned = false;
  #isClosed = false;

  constructor(options: MemoryAccountOptions, budget: BudgetAccess) {
    this.#options = options;
    this.#budget = budget;
    this.#grownAt = budget.now();
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Monotonic time; milliseconds. */
  get grownAt(): number {
    return this.#grownAt;
  }

  get isRevocable(): boolean {
    return !this.#isPinned && !this.#isClosed;
  }

  /** Adds `bytes`; returns false, without a change, if the budget has no room for them. */
  grow(bytes: number): boolean {
    if (this.#isClosed || !this.#budget.grow(this, bytes)) return false;
    this.#bytes += bytes;
    this.#grownAt = this.#budget.now();
    return true;
  }

  /** Adds bytes that are allocated already, with or without room for them. */
  add(bytes: number): void {
    if (this.#isClosed) return;
    this.#budget.add(this, bytes);
    this.#bytes += bytes;
    this.#grownAt = this.#budget.now();
  }

  /** Gives back `bytes`, at most what the account holds. */
  shrink(bytes: number): void {
    const returned = Math.min(bytes, this.#bytes);
    this.#bytes -= returned;
    this.#budget.shrink(returned);
  }

  /** Keeps the memory from being revoked. */
  pin(): void {
    this.#isPinned = true;
  }

  /** Gives back everything; further calls do nothing. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.shrink(this.#bytes);
    this.#budget.close(this);
  }

  revoke(): void {
    if (!this.isRevocable) return;
    this.close();
    this.#options.onRevoked();
  }
}
