export { type ProgramGroup, programGroups } from './groups';
export {
  type InitialSettings,
  type InitialSettingsOptions,
  readInitialSettings,
} from './initial-settings';
export { SettingsError, loadSettings, safeLoadSettings, safeParseSettings } from './load';
export {
  type ClusterSettings,
  type ControlSettings,
  type EntrySettings,
  type HostSettings,
  type SidecarSettings,
  controlSettingsSchema,
  entrySettingsSchema,
  sidecarSettingsSchema,
} from './schema';
export { drainMilliseconds } from './stop-time';
