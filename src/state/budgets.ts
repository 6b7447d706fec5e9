import type { KindInForce } from './commands';
import type { Spending } from './records';

/** Spending of a program that has used nothing. */
export function openSpending(kind: KindInForce): Spending {
  return {
    tokenLimit: kind.tokenLimit,
    callLimit: kind.callLimit,
    spentTokens: 0,
    spentCalls: 0,
    reservedTokens: 0,
    reservedCalls: 0,
  };
}

/** Sets tokens and one call aside; nothing when that would pass a limit. */
export function reserve(spending: Spending, tokens: number): Spending | undefined {
  const tokenTotal = spending.spentTokens + spending.reservedTokens + tokens;
  const callTotal = spending.spentCalls + spending.reservedCalls + 1;
  if (tokenTotal > spending.tokenLimit || callTotal > spending.callLimit) return undefined;
  return {
    ...spending,
    reservedTokens: spending.reservedTokens + tokens,
    reservedCalls: spending.reservedCalls + 1,
  };
}

/** Turns one reservation into what was really used. */
export function settle(spending: Spending, reserved: number, used: number, calls: 0 | 1): Spending {
  return {
    ...spending,
    reservedTokens: spending.reservedTokens - reserved,
    reservedCalls: spending.reservedCalls - 1,
    spentTokens: spending.spentTokens + used,
    spentCalls: spending.spentCalls + calls,
  };
}
