export { Forwarder, type ForwarderOptions } from './forwarder';
export { withoutConnectionHeaders } from './headers';
export { GatewayServer } from './server';
export { TurnHandler } from './turn-handler';
export type { AnswerHead, HeaderMap, RequestHead, TargetHeaders, Wire } from './wire';
