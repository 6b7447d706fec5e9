export type { SystemContract } from './contract';
export {
  type GatewayNode,
  type GatewayNodeOptions,
  type ParsedConfiguration,
  type PlatformAdapter,
  createGatewayNode,
} from './gateway-node';
export { type CreateNode, runNode } from './run';
export { type NodeSettings, nodeSettingsSchema } from './settings';
export { createStoreNode } from './store-node';
