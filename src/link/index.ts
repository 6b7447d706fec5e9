export type { CallHandlers, CallName, Caller, CastHandlers, CastName, Contract } from './contract';
export { LinkError, type LinkFailure } from './errors';
export { type Frame, FrameDecoder, encodeFrame } from './frame';
export { LinkListener, type LinkListenerOptions } from './listener';
export { Peers, type PeersOptions } from './peers';
