export { runLocalCommand } from './command';
export {
  LOCAL_KEY,
  type LocalTarget,
  type LocalTargets,
  localConfigurationFiles,
} from './configuration';
export { findFreeAddresses } from './free-address';
export { type SessionOptions, runSession } from './session';
export {
  INSTANT_ENGINE,
  type LocalSystem,
  type LocalSystemOptions,
  type StandInSettings,
  startLocalSystem,
} from './system';
