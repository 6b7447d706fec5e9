export { Forwarder, type ForwarderOptions } from './forwarder';
export { withoutConnectionHeaders } from './headers';
export { GatewayServer } from './server';
export { Sender } from './sender';
export { TurnHandler } from './turn-handler';
export { TurnPreparer } from './turn-preparer';
export type { AnswerHead, HeaderMap, RequestHead, TargetHeaders, Wire } from './wire';
