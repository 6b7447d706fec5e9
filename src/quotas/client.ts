import { type CancelTimer, type Clock, type Component, type Logger, messageOf } from '../core';
import type { Team } from '../teams';
import type { QuotaDemand, QuotaGrants, QuotaReport } from './contract';
import { QuotaShare, type ShareOutcome } from './share';

/** Pause between two questions to the holder; a turn takes ten times as long. Milliseconds. */
const PAUSE_MILLISECONDS = 20;

/** Pause between questions for requests that the holder had nothing for; milliseconds. */
const EMPTY_PAUSE_MILLISECONDS = 50;

/** Pause after which the holder is told of what was let through, though nothing waits; milliseconds. */
const TELL_MILLISECONDS = 100;

/** Pause after a question that nobody answered; milliseconds. */
const RETRY_MILLISECONDS = 50;

/** Longest wait of a request of a program under way; an election takes 0.6 s. Milliseconds. */
const WAIT_MILLISECONDS = 1000;

/** Time after which a share that nobody uses is forgotten; milliseconds. */
const FORGET_MILLISECONDS = 60_000;

export interface QuotaClientOptions {
  /** This run of the process. */
  readonly run: string;
  /** Asks whoever leads the cluster's state; rejects where it is not reached. */
  readonly ask: (report: QuotaReport) => Promise<QuotaGrants>;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface KnownShare {
  readonly share: QuotaShare;
  usedAt: number;
}

/**
 * Lets requests through within their teams' quotas, which the process that leads the cluster's state lends.
 * All teams share one question, and one question is under way at a time.
 */
export class QuotaClient implements Component {
  readonly #options: QuotaClientOptions;
  readonly #shares = new Map<string, KnownShare>();
  #cancel: CancelTimer = () => undefined;
  #dueAt = Infinity;
  #asking = false;
  /** Whether a request came while a question was under way that did not speak of it. */
  #hasUnasked = false;
  #stopped = false;
  #earliestAt = -Infinity;

  constructor(options: QuotaClientOptions) {
    this.#options = options;
  }

  start(): void {
    this.#schedule(TELL_MILLISECONDS);
  }

  stop(): void {
    this.#stopped = true;
    this.#cancel();
  }

  /**
   * Lets a request of a team through, or says why not. First turns of programs wait for one answer of the
   * holder, other requests for up to a second, at most until `deadline` (monotonic).
   */
  admit(team: Team, isStart: boolean, deadline: number): Promise<ShareOutcome> {
    if (team.quota === undefined) return Promise.resolve({ kind: 'granted' });
    const now = this.#options.clock.monotonic();
    const known = this.#known(team.name, now);
    known.usedAt = now;
    if (!isStart && known.share.takeFromStock(now)) return Promise.resolve({ kind: 'granted' });
    return new Promise((resolve) => {
      const endsAt = Math.min(now + WAIT_MILLISECONDS, deadline);
      known.share.wait({ isStart, since: now, endsAt, resolve });
      this.#hasUnasked = true;
      this.#schedule(0);
    });
  }

  /** Tells that a request that was let through has not run and will not. */
  giveBack(team: Team): void {
    this.#shares.get(team.name)?.share.giveBack(this.#options.clock.monotonic());
  }

  #known(team: string, now: number): KnownShare {
    let known = this.#shares.get(team);
    if (known === undefined) {
      known = { share: new QuotaShare(team), usedAt: now };
      this.#shares.set(team, known);
    }
    return known;
  }

  /** Makes sure that the next look is at most `milliseconds` away, and not too soon after the last. */
  #schedule(milliseconds: number): void {
    const { clock } = this.#options;
    const now = clock.monotonic();
    const at = Math.max(now + milliseconds, this.#earliestAt);
    if (this.#stopped || this.#asking || at >= this.#dueAt) return;
    this.#cancel();
    this.#dueAt = at;
    this.#cancel = clock.after(at - now, () => {
      this.#dueAt = Infinity;
      void this.#look();
    });
  }

  async #look(): Promise<void> {
    const { clock } = this.#options;
    const startedAt = clock.monotonic();
    this.#forget(startedAt);
    const demands = this.#demandsAt(startedAt);
    this.#hasUnasked = false;
    if (demands.length > 0) await this.#ask(demands, startedAt);
    let waiting = 0;
    for (const { share } of this.#shares.values()) {
      share.endWaits(clock.monotonic());
      waiting += share.waiting;
    }
    this.#schedule(this.#pauseWith(waiting));
  }

  #pauseWith(waiting: number): number {
    if (this.#hasUnasked) return 0;
    return waiting > 0 ? EMPTY_PAUSE_MILLISECONDS : TELL_MILLISECONDS;
  }

  #demandsAt(now: number): readonly QuotaDemand[] {
    const demands: QuotaDemand[] = [];
    for (const { share } of this.#shares.values()) {
      if (share.isNewsAt(now)) demands.push(share.demandAt(now));
    }
    return demands;
  }

  async #ask(demands: readonly QuotaDemand[], askedAt: number): Promise<void> {
    const { ask, run, clock, logger } = this.#options;
    this.#asking = true;
    try {
      const { grants, validMilliseconds, term } = await ask({ run, demands });
      const facts = { askedAt, validMilliseconds, term };
      demands.forEach((demand, index) => {
        const grant = grants[index];
        const share = this.#shares.get(demand.team)?.share;
        if (grant !== undefined) share?.take(demand, grant, facts);
      });
      this.#earliestAt = clock.monotonic() + PAUSE_MILLISECONDS;
    } catch (error) {
      logger.info({ event: 'quotas-not-lent', error: messageOf(error) });
      this.#earliestAt = clock.monotonic() + RETRY_MILLISECONDS;
    } finally {
      this.#asking = false;
    }
  }

  #forget(now: number): void {
    for (const [team, { share, usedAt }] of this.#shares) {
      if (now - usedAt > FORGET_MILLISECONDS && share.waiting === 0) this.#shares.delete(team);
    }
  }
}
