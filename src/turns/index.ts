export { ChainCache } from './chain-cache';
export {
  type ChainLookup,
  type ReserveOutcome,
  TurnClient,
  type TurnClientOptions,
} from './client';
export type { TurnContract } from './contract';
export { TurnsUnavailable } from './errors';
export { Filler } from './filler';
export { TurnJournal } from './journal';
export { type Reservation, type TurnRecord, type TurnRow, decodeRow, encodeRow } from './records';
export { TurnStore } from './store';
export { StoreWatch } from './store-watch';
export { TurnTable } from './table';
