export { type Cause, type CauseTable, countCauses } from './causes';
export { type LogLine, type LogReading, readLog } from './log-line';
export { type Story, tellStory } from './story';
