export type { SystemContract } from './contract';
export {
  type GatewayNode,
  type GatewayNodeOptions,
  type OperatorHandlerOptions,
  type ParsedConfiguration,
  type PlatformAdapter,
  createGatewayNode,
} from './gateway-node';
export { type CreateNode, type RunOptions, runNode } from './run';
export { type NodeSettings, nodeSettingsSchema } from './node-settings';
export { createStoreNode } from './store-node';
