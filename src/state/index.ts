export {
  type AbandonStep,
  type AcceptConfiguration,
  type BeginStep,
  type Command,
  type CompleteStep,
  type CreateProgram,
  type EndProgram,
  type ResolvedKind,
  type ResolveStep,
  abandonStepSchema,
  acceptConfigurationSchema,
  beginStepSchema,
  completeStepSchema,
  createProgramSchema,
  encodeLeavingHosts,
  endProgramSchema,
  resolveStepSchema,
} from './commands';
export {
  type AcceptedConfiguration,
  type ConfigurationChanges,
  ConfigurationStateMachine,
} from './configuration-state-machine';
export { contentHandlesOf, toBeginOutcome, toCompleteOutcome } from './step-contents';
export { CONFIGURATION_GROUP, groupOfProgram, programIdOf } from './groups';
export { resolveKind } from './resolved-kind';
export {
  type CommandResult,
  type CommandResults,
  ProgramStateMachine,
} from './program-state-machine';
export {
  type AcceptOutcome,
  type BeginDecision,
  type BeginOutcome,
  type CompleteDecision,
  type CompleteOutcome,
  type ConfigurationResult,
  type Created,
  type Ended,
  type ProgramView,
  type Refused,
  type RunStep,
  viewProgram,
} from './outcomes';
export {
  type Answer,
  type CallAnswer,
  type Claim,
  type Message,
  type Order,
  type Program,
  type RunningStep,
  type TurnAnswer,
  type Usage,
  answerSchema,
  orderSchema,
} from './records';
export type { SnapshotContentStore } from './snapshot';
export { evaluateBegin, sequenceOf } from './steps';
export type { ProgramTables } from './program-tables';
