import type { RandomSource } from '../core';
import { type Refusal, refuseByQuota } from '../decisions';
import type { QuotaClient, ShareOutcome } from '../quotas';
import type { Team } from '../teams';
import type { Exchange } from './exchange';

export interface QuotaGateOptions {
  readonly quotas: Pick<QuotaClient, 'admit' | 'giveBack'>;
  readonly random: RandomSource;
}

/** A request's part of its team's quota, which is asked for while other things are prepared. */
export interface QuotaPass {
  /** Why the request lies beyond the quota; nothing once it may go on. */
  refusal(): Promise<Refusal | undefined>;
  /** Tells that the request has not run and will not, at any time. */
  giveBack(): void;
}

/** Holds the requests of teams to their quotas. */
export class QuotaGate {
  readonly #options: QuotaGateOptions;

  constructor(options: QuotaGateOptions) {
    this.#options = options;
  }

  /** Asks for a request's part; `isStart`: whether it begins a program. */
  ask(exchange: Exchange, isStart: boolean): QuotaPass {
    const { team } = exchange;
    if (team === undefined) return FREE_PASS;
    const { quotas } = this.#options;
    const outcome = quotas.admit(team, isStart, exchange.deadline);
    return {
      refusal: async () => this.#refuse(exchange, team, isStart, await outcome),
      giveBack: () => {
        void outcome.then(({ kind }) => {
          if (kind === 'granted') quotas.giveBack(team);
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
      const { kind, ...facts } = outcome;
      exchange.decide({ step: 'quota', outcome: kind, isStart, ...team.quota, ...facts });
    }
    return refusal;
  }
}

/** For callers without a team, who have no quota. */
export const FREE_PASS: QuotaPass = {
  refusal: () => Promise.resolve(undefined),
  giveBack: () => undefined,
};
