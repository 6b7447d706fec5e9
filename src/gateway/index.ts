export { EngineAdmission } from './engine-admission';
export { FairShares } from './fair-shares';
export { Forwarder, type ForwarderOptions } from './forwarder';
export { withoutConnectionHeaders } from './headers';
export { GatewayServer } from './server';
export { KeyGuard, type KeyGuardOptions } from './key-guard';
export {
  UNLIMITED_ADMISSION,
  QuotaGate,
  type QuotaGateOptions,
  type QuotaAdmission,
} from './quota-gate';
export { StopGate } from './stop-gate';
export { Sender } from './sender';
export { TurnHandler } from './turn-handler';
export { TurnPreparer } from './turn-preparer';
export type {
  ResponseHead,
  HeaderMap,
  RequestHead,
  TargetHeaders,
  WireFormat,
} from './wire-format';
