export { EngineServer } from './engine/server';
export { type EngineSettings, engineSettingsSchema } from './engine/settings';
export { HostList, type HostsSettings, hostsSettingsSchema } from './hosts';
export { type ScriptedResponse, ScriptedServer, sendScripted } from './scripted-response';
export { PlainServer, type PlainSettings, plainSettingsSchema } from './plain';
export { WeightStore, type WeightsSettings, weightsSettingsSchema } from './weights';
