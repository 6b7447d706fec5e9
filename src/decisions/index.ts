export { type Admission, type Learned, admitTurn, preparationTime } from './admission';
export { type Placers, createPlacers } from './baselines';
export {
  type KeyCheckInput,
  type KeyVerdict,
  KEYS_UNCONFIRMED,
  NO_KEY,
  UNKNOWN_KEY,
  judgeKey,
  mayUseKeys,
} from './keys';
export { enginePriority } from './order';
export { type EngineLoad, refuseInOverload } from './overload';
export {
  EnginePlacementPolicy,
  type PlacementCandidate,
  type PlacementDecision,
  type PlacementInput,
  type Placer,
  SlotPlacementPolicy,
} from './placement';
export { refuseByQuota } from './quotas';
export {
  type Refusal,
  type RefusalCode,
  refuseAsTooLate,
  refuseAsUnknown,
  refuseWithoutTarget,
} from './refusal';
export {
  MISDIRECTED,
  NO_TRIES,
  type NextStep,
  type Tries,
  type TryOutcome,
  decideNext,
  mayBeSentTwice,
} from './retry';
export { SendBudget } from './send-budget';
export {
  ALL_DECISIONS,
  type DecisionSwitches,
  PLACEMENT_POLICIES,
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
export { UsualTimes } from './usual-times';
