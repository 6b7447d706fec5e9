export type { CrashContract } from './contract';
export { CrashDetector } from './crash-detector';
export { CrashExchange } from './crash-exchange';
export { CrashGuard, type TrackedRequest, type UnresolvedAttempt } from './crash-guard';
export { type Answer, type Exposure, ExposureTable } from './exposure-table';
export type { RequestCrashes } from './request-crashes';
export {
  type ProbeResult,
  type ProbedTarget,
  RepeatingTargetProber,
  type TargetProber,
  TcpTargetProber,
} from './target-prober';
