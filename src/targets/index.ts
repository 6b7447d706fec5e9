export {
  type ChoiceRequest,
  type Placement,
  type PlacementRequest,
  TargetChooser,
} from './chooser';
export { type TargetConnection, TargetConnections } from './connections';
export { TargetDirectory } from './directory';
export { type LoadContract, LoadExchange } from './load-exchange';
export { SharedTargetSource, type TargetListContract } from './shared-source';
export { TargetState } from './state';
export { UsualDurations } from './usual-durations';
export type { ListedTarget, PromptPart, TargetSource } from './target';
