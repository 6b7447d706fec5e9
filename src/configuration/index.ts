export { type Change, diffConfigurations } from './diff';
export { type AdoptOutcome, ActiveConfiguration } from './active-configuration';
export { safeReadDirectory } from './directory';
export {
  ConfigurationError,
  digestFiles,
  parseConfiguration,
  safeParseConfiguration,
} from './parse';
export {
  type Budget,
  type Configuration,
  type Distance,
  type Pool,
  type ProgramKind,
  type Service,
  type SourceFile,
  type Target,
  type Team,
  sourceFileSchema,
} from './schema';
