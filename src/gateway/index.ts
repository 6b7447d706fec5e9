export { Forwarder, type ForwarderOptions } from './forwarder';
export { withoutConnectionHeaders } from './headers';
export { GatewayServer } from './server';
export { TurnHandler } from './turn-handler';
export { TurnPreparer } from './turn-preparer';
export type { AnswerHead, HeaderMap, RequestHead, TargetHeaders, Wire } from './wire';
