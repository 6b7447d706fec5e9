export type {
  CallHandlers,
  CallName,
  ConfirmingRpcClient,
  RpcClient,
  CastHandlers,
  CastName,
  RpcContract,
} from './contract';
export { RpcError, type RpcFailure } from './errors';
export { type Frame, FrameDecoder, encodeFrame } from './frame';
export { RpcServer, type RpcServerOptions } from './server';
export { PeerConnections, type PeerConnectionsOptions } from './peer-connections';
