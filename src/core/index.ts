export { type Address, addressSchema, formatAddress, parseAddress } from './address';
export {
  type CancelTimer,
  type Clock,
  PAUSE_THRESHOLD_MILLISECONDS,
  SystemClock,
  type Timeout,
  delay,
  repeat,
  startTimeout,
} from './clock';
export { digestPrefixes, digestText, digestValue, equalSecrets } from './digest';
export { type Issue, MartenbayError, formatIssue, formatPath, messageOf } from './errors';
export { RateLimitedLogLine, type RateLimitedLogLineOptions } from './rate-limited-log-line';
export { InFlightTracker } from './in-flight';
export { type Component, LifeCycle } from './life-cycle';
export { LogOutput, type LogOutputOptions } from './log-output';
export { type LogOptions, type Logger, createLogger, createSilentLogger } from './log';
export { Metrics } from './metrics';
export { nameSchema } from './name';
export type { OutputFile } from './output-file';
export { PeriodicTask } from './periodic';
export { type DrainableRequests, PlannedStop, type PlannedStopOptions } from './planned-stop';
export { ProcessSignals, type StopSignal } from './process-signals';
export { type RandomSource, SeededRandom, SystemRandom } from './random';
export { RecentPeak, type RecentPeakOptions } from './recent-peak';
export { bothSettled } from './settled';
export { issuesOf, parseDocument } from './toml';
export { UncaughtErrors, type UncaughtErrorsOptions, raiseUncaught } from './uncaught-errors';
