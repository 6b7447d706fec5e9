export { type BudgetEvaluation, type ReserveOutcome, evaluateBudget } from './reservation-budget';
export { ChainCache } from './chain-cache';
export { TurnClient, type TurnClientOptions } from './client';
export type { TurnContract } from './contract';
export { TurnsUnavailableError } from './errors';
export { Backfill } from './backfill';
export { TurnJournal } from './journal';
export {
  type ChainLookup,
  type Reservation,
  type TurnRecord,
  type TurnRow,
  decodeRow,
  encodeRow,
} from './records';
export { TurnStore } from './store';
export { QuorumMonitor } from './quorum-monitor';
export { TurnTable } from './table';
