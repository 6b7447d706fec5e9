import type { RandomSource } from '../core';
import { type Refusal, refuseByQuota } from '../decisions';
import type { QuotaClient, ShareOutcome } from '../quotas';
import type { Team } from '../teams';
import type { Exchange } from './exchange';

export interface QuotaGateOptions {
  readonly quotas: Pick<QuotaClient, 'admit' | 'refund'>;
  readonly random: RandomSource;
}

/** A pending admission, so that a request can be prepared while the quota is checked. */
export interface QuotaAdmission {
  /**
   * Resolves once the quota was checked: with a refusal, or with undefined if the request may
   * proceed.
   */
  refusal(): Promise<Refusal | undefined>;
  /** Returns the quota of a request that has not run and will not run. */
  refund(): void;
}

/** Enforces the request quotas of teams. */
export class QuotaGate {
  readonly #options: QuotaGateOptions;

  constructor(options: QuotaGateOptions) {
    this.#options = options;
  }

  /** `isStart`: whether the request begins a program. */
  requestAdmission(exchange: Exchange, isStart: boolean): QuotaAdmission {
    const { team } = exchange;
    if (team === undefined) return UNLIMITED_ADMISSION;
    const { quotas } = this.#options;
    const outcome = quotas.admit(team, isStart, exchange.deadline);
    return {
      refusal: async () => this.#refuse(exchange, team, isStart, await outcome),
      refund: () => {
        void outcome.then(({ kind }) => {
          if (kind === 'granted') quotas.refund(team);
        });
      },
    };
  }

  #refuse(
    exchange: Exchange,
    team: Team,
    isStart: boolean,
    outcome: ShareOutcome,
  ): Refusal | undefined {
    const refusal = refuseByQuota(team.name, outcome, this.#options.random);
    if (refusal !== undefined) {
      const { kind, ...details } = outcome;
      exchange.recordDecision({ step: 'quota', outcome: kind, isStart, ...team.quota, ...details });
    }
    return refusal;
  }
}

/** For callers without a team, which have no quota. */
export const UNLIMITED_ADMISSION: QuotaAdmission = {
  refusal: () => Promise.resolve(undefined),
  refund: () => undefined,
};
