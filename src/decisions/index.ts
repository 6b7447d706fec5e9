export { type Admission, type StoreResult, admitTurn, preparationTimeout } from './admission';
export { type PlacementPolicies, createPlacementPolicies } from './placement-policies';
export {
  type KeyCheckInput,
  type KeyDecision,
  KEYS_UNCONFIRMED,
  NO_KEY,
  UNKNOWN_KEY,
  checkKey,
  isConfirmationValid,
} from './key-check';
export {
  CRASH_LIMIT,
  type Crash,
  type CrashCounts,
  SUSPECT_CRASHES,
  countCrashes,
  decideAfterCrashes,
  refuseAfterCrashes,
  refuseUnresolved,
} from './crash-limit';
export { newConnectionMilliseconds } from './connection-cost';
export { type PriorityShares, enginePriority } from './engine-priority';
export {
  type EngineSharesInput,
  type TeamDemand,
  type TeamShare,
  computeEngineShares,
  countRequestsAhead,
} from './engine-shares';
export {
  type EngineLoad,
  type FairShareLoad,
  type OverloadInput,
  refuseInOverload,
} from './overload';
export {
  EnginePlacementPolicy,
  type PlacementCandidate,
  type PlacementDecision,
  type PlacementInput,
  type PlacementPolicy,
  SlotPlacementPolicy,
} from './placement';
export { refuseByQuota } from './quota-refusal';
export {
  type Refusal,
  type RefusalCode,
  refuseUnknownOutcome,
  refuseWithoutTarget,
} from './refusal';
export {
  MISDIRECTED_REQUEST_STATUS,
  NO_ATTEMPTS,
  type NextStep,
  type AttemptCounts,
  type AttemptSummary,
  decideNext,
  mayHedge,
} from './retry';
export { STOPPING, neededMilliseconds, refuseUnfinished } from './stop-refusal';
export { HedgeBudget } from './hedge-budget';
export {
  DEFAULT_DECISION_SWITCHES,
  type DecisionSwitches,
  PLACEMENT_POLICY_NAMES,
  decisionSwitchesSchema,
} from './switches';
export {
  type HealthEvent,
  INITIAL_TARGET_HEALTH,
  type TargetHealth,
  failureShareAt,
  isPausedAt,
  nextHealth,
} from './target-health';
export { LatencyQuantiles } from './latency-quantiles';
