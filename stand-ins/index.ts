export { EngineServer } from './engine/server';
export { type EngineSettings, engineSettingsSchema } from './engine/settings';
export { HostList, type HostsSettings, hostsSettingsSchema } from './hosts';
export {
  BROKEN_OFF_RESPONSES,
  type ScriptedResponse,
  ScriptedServer,
  WHOLE_RESPONSES,
  sendScripted,
} from './scripted-response';
export { PlainServer, type PlainSettings, plainSettingsSchema } from './plain';
export {
  type UnfinishedHead,
  UnfinishedHeadServer,
  sendUnfinishedHead,
  unfinishedHeads,
} from './unfinished-head';
export { WeightStore, type WeightsSettings, weightsSettingsSchema } from './weights';
