export { type Cause, type CauseTable, countCauses } from './causes';
export { type LogLine, type ParsedLog, readLog } from './log-line';
export { type LogTrace, buildTrace } from './log-trace';
