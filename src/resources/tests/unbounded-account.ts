import { ManualClock } from '../../core/tests/manual-clock';
import { type MemoryAccount, MemoryBudget } from '..';

/** An account of a budget that is never used up. */
export function openUnboundedAccount(): MemoryAccount {
  const budget = new MemoryBudget({ capacityBytes: Infinity, clock: new ManualClock() });
  return budget.open({ onRevoked: () => undefined });
}
