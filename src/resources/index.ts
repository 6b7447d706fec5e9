export { BlockBuffer } from './block-buffer';
export {
  type ListenerConnections,
  type ResourceLimits,
  type ResourceSettings,
  WAITING_RESPONSE_BYTES,
  resourceLimits,
} from './limits';
export { type MemoryAccount, MemoryBudget, type MemoryBudgetOptions } from './memory-budget';
export { type CollectGarbage, MemoryReclaimer } from './memory-reclaimer';
export {
  type ObservedResponseMemoryOptions,
  createObservedResponseMemory,
} from './observed-response-memory';
export { type ResponseAccount, type ResponseAccountOptions } from './response-account';
export { ResponseMemory, type ResponseMemoryOptions } from './response-memory';
