import type { ResolvedKind } from './commands';
import type { Spending } from './records';

export function createSpending(kind: ResolvedKind): Spending {
  return {
    tokenLimit: kind.tokenLimit,
    callLimit: kind.callLimit,
    spentTokens: 0,
    spentCalls: 0,
    reservedTokens: 0,
    reservedCalls: 0,
  };
}

/** Reserves tokens and one call; undefined if that would exceed a limit. */
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

/** Replaces the reservation of one call by its actual use. */
export function settle(spending: Spending, reserved: number, used: number, calls: 0 | 1): Spending {
  return {
    ...spending,
    reservedTokens: spending.reservedTokens - reserved,
    reservedCalls: spending.reservedCalls - 1,
    spentTokens: spending.spentTokens + used,
    spentCalls: spending.spentCalls + calls,
  };
}
