import type { NodeInfo } from '../cluster';
import { type CancelTimer, type Clock, type Component, PeriodicTask } from '../core';
import type { CastHandlers, RpcClient } from '../rpc';
import type { AttemptNotice, CrashContract, SettledAttempt } from './contract';
import { selectHolders } from './crash-holders';
import type { Exposure } from './exposure-table';

/** Other gateways that are told of an attempt before it is made; one of them may be lost too. */
const WITNESS_COUNT = 2;

/** Time for which outcomes are collected before they are sent. */
const SETTLE_DELAY_MILLISECONDS = 100;

/** Time for which the outcome of an own attempt is known, so that other gateways can ask for it. */
const OUTCOME_RETENTION_MILLISECONDS = 10_000;

/** Age at which an attempt of another gateway is dropped that was never settled. */
const ATTEMPT_RETENTION_MILLISECONDS = 60_000;

const SWEEP_INTERVAL_MILLISECONDS = 2000;

/** Attempts of other gateways that are kept; beyond it, new ones are not. */
const ATTEMPT_LIMIT = 8192;

/** What this gateway knows of an attempt that it made itself. */
export type OwnAttemptState = 'running' | 'settled' | 'unknown';

interface OwnAttempt {
  readonly witnesses: readonly NodeInfo[];
  /** Monotonic milliseconds; undefined while it runs. */
  settledAt: number | undefined;
}

export interface AttemptJournalOptions {
  /** All gateways, this one included. */
  readonly gateways: () => readonly NodeInfo[];
  readonly self: NodeInfo;
  readonly peers: Pick<RpcClient<CrashContract>, 'cast'>;
  readonly clock: Clock;
  /** Called with attempts of several tries of one request that are open at once. */
  readonly onOverlap: (fingerprint: string, attempts: readonly Exposure[]) => void;
}

/**
 * Tells other gateways of each attempt before it is made, and of its outcome some time later, so that
 * an attempt is known even if its gateway ends with the target (intents: Setty et al., "Realizing the
 * Fault-Tolerance Promise of Cloud Storage Using Locks with Intent"). The witnesses act only if the
 * next try of the request begins while an attempt is open: the tries of one caller follow one another.
 */
export class AttemptJournal implements Component {
  readonly #options: AttemptJournalOptions;
  readonly #own = new Map<string, OwnAttempt>();
  /** Open attempts of other gateways, by fingerprint and then by request and target. */
  readonly #kept = new Map<string, Map<string, Exposure>>();
  #keptCount = 0;
  /** Outcomes that are not sent yet, by address of the witness. */
  readonly #outcomes = new Map<string, SettledAttempt[]>();
  readonly #sweep: PeriodicTask;
  #cancelFlush: CancelTimer | undefined;

  constructor(options: AttemptJournalOptions) {
    this.#options = options;
    this.#sweep = new PeriodicTask(options.clock, SWEEP_INTERVAL_MILLISECONDS, () => {
      this.#expire();
    });
  }

  start(): void {
    this.#sweep.start();
  }

  stop(): void {
    this.#sweep.stop();
    this.#cancelFlush?.();
  }

  get casts(): CastHandlers<CrashContract> {
    const { clock } = this.#options;
    return {
      'crashes.attempts': ({ begun, settled }) => {
        for (const outcome of settled) this.#remove(outcome);
        for (const { fingerprint, agoMilliseconds, ...attempt } of begun) {
          this.#keep(fingerprint, { ...attempt, lostAt: clock.monotonic() - agoMilliseconds });
        }
      },
    };
  }

  /** Tells the witnesses of an attempt that this gateway is about to make. */
  begin(fingerprint: string, { lostAt, ...attempt }: Exposure): void {
    if (this.stateOf(attempt) === 'running') return;
    const { gateways, self, clock } = this.#options;
    const witnesses = selectHolders(gateways(), fingerprint)
      .filter(({ name }) => name !== self.name)
      .slice(0, WITNESS_COUNT);
    this.#own.set(keyOf(attempt), { witnesses, settledAt: undefined });
    const agoMilliseconds = Math.round(clock.monotonic() - lostAt);
    const notice = { ...attempt, fingerprint, agoMilliseconds };
    for (const { address } of witnesses) this.#send(address, [notice]);
  }

  /** Records that the outcome of an own attempt is known to this gateway. */
  settle(outcome: SettledAttempt): void {
    const attempt = this.#own.get(keyOf(outcome));
    if (attempt === undefined || attempt.settledAt !== undefined) return;
    attempt.settledAt = this.#options.clock.monotonic();
    for (const { address } of attempt.witnesses) {
      const outcomes = this.#outcomes.get(address) ?? [];
      outcomes.push(outcome);
      this.#outcomes.set(address, outcomes);
    }
    this.#cancelFlush ??= this.#options.clock.after(SETTLE_DELAY_MILLISECONDS, () => {
      this.#cancelFlush = undefined;
      for (const address of [...this.#outcomes.keys()]) this.#send(address, []);
    });
  }

  stateOf(attempt: Pick<Exposure, 'request' | 'target'>): OwnAttemptState {
    const own = this.#own.get(keyOf(attempt));
    if (own === undefined) return 'unknown';
    return own.settledAt === undefined ? 'running' : 'settled';
  }

  /** Open attempts of other gateways that belong to other tries of the request. */
  overlapsOf(fingerprint: string, request: string): readonly Exposure[] {
    const kept = this.#kept.get(fingerprint);
    if (kept === undefined) return [];
    return [...kept.values()].filter((attempt) => attempt.request !== request);
  }

  #send(address: string, begun: readonly AttemptNotice[]): void {
    const settled = this.#outcomes.get(address) ?? [];
    this.#outcomes.delete(address);
    this.#options.peers.cast(address, 'crashes.attempts', { begun, settled });
  }

  #keep(fingerprint: string, attempt: Exposure): void {
    const overlaps = this.overlapsOf(fingerprint, attempt.request);
    if (this.#keptCount < ATTEMPT_LIMIT) {
      const kept = this.#kept.get(fingerprint) ?? new Map<string, Exposure>();
      if (!kept.has(keyOf(attempt))) this.#keptCount += 1;
      kept.set(keyOf(attempt), attempt);
      this.#kept.set(fingerprint, kept);
    }
    if (overlaps.length > 0) this.#options.onOverlap(fingerprint, [...overlaps, attempt]);
  }

  #remove(outcome: Pick<SettledAttempt, 'fingerprint' | 'request' | 'target'>): void {
    const kept = this.#kept.get(outcome.fingerprint);
    if (kept?.delete(keyOf(outcome)) !== true) return;
    this.#keptCount -= 1;
    if (kept.size === 0) this.#kept.delete(outcome.fingerprint);
  }

  #expire(): void {
    const now = this.#options.clock.monotonic();
    for (const [key, { settledAt = Infinity }] of this.#own) {
      if (now - settledAt > OUTCOME_RETENTION_MILLISECONDS) this.#own.delete(key);
    }
    for (const [fingerprint, kept] of this.#kept) {
      for (const attempt of kept.values()) {
        const isExpired = now - attempt.lostAt > ATTEMPT_RETENTION_MILLISECONDS;
        if (isExpired) this.#remove({ ...attempt, fingerprint });
      }
    }
  }
}

function keyOf({ request, target }: Pick<Exposure, 'request' | 'target'>): string {
  return `${request} ${target}`;
}
