export { LEASE_MILLISECONDS, QuotaBucket } from './bucket';
export { QuotaClient, type QuotaClientOptions } from './client';
export type { QuotaDemand, QuotaGrant, QuotaGrants, QuotaReport } from './contract';
export { type Leadership, QuotaAllocator, type QuotaAllocatorOptions } from './allocator';
export { QuotaShare, type ShareOutcome, type PendingRequest } from './share';
