export {
  type ChoiceRequest,
  type Placement,
  type PlacementRequest,
  TargetChooser,
} from './chooser';
export { type TargetConnection, TargetConnectionPool } from './connection-pool';
export { CoordinatorSelector } from './coordinator-selector';
export { type DemandContract, DemandExchange } from './demand-exchange';
export { TargetDirectory } from './directory';
export { type DemandEntry, type EngineDemand, EngineDemandTracker } from './engine-demand';
export { totalLoadOf } from './engine-load';
export { selectTargets } from './incarnation';
export { type LoadContract, LoadExchange } from './load-exchange';
export { SharedTargetSource, type TargetListContract } from './shared-source';
export { TargetState } from './state';
export { DurationAverages } from './duration-averages';
export type { ListedTarget, PromptPart, TargetEnd, TargetSource } from './target';
