export type { CallHandlers, CallName, Caller, CastHandlers, CastName, Contract } from './contract';
export { RpcError, type RpcFailure } from './errors';
export { type Frame, FrameDecoder, encodeFrame } from './frame';
export { LinkListener, type RpcServerOptions } from './listener';
export { Peers, type PeerConnectionsOptions } from './peers';
