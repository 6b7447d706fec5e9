import type { Team } from '../teams';

/** Whether a request may be retried when its outcome is unknown. */
export type RequestKind =
  /** Idempotent: may run more than once. */
  | 'repeatable'
  /** Runs at most once per request of a caller. */
  | 'once'
  /** Responds with a stream of events; runs at most once unless the route is resumable. */
  | 'stream';

/** A service's share of a route's requests is its weight divided by the sum of the weights. */
export interface RouteService {
  readonly service: string;
  readonly weight: number;
}

/** Settings of the requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Deadline of a request, counted from its arrival. */
  readonly timeoutMilliseconds: number;
  /** Objective for the time from arrival until the response begins. */
  readonly targetLatencyMilliseconds: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly services: readonly RouteService[];
  /** Maximum number of targets that one request is sent to. */
  readonly attempts: number;
  /** Whether a stream may be retried when its outcome is unknown; `repeatable` ones always may. */
  readonly isResumable: boolean;
  /** Seconds for which completed turns are kept; `undefined` if callers send the whole context. */
  readonly retentionSeconds: number | undefined;
  /** Whether callers without a key are served although the configuration has teams. */
  readonly isPublic: boolean;
}

export interface EngineSettings {
  /** Requests that an engine processes concurrently. */
  readonly slots: number;
  /** Capacity of an engine's KV cache. */
  readonly cacheTokens: number;
  readonly tokensPerEvent: number;
}

export interface Service {
  readonly name: string;
  /** Connections that one target accepts from all gateways together. */
  readonly connectionLimit: number;
  readonly engine: EngineSettings | undefined;
  /** Path of a target's liveness check; undefined if targets have none. */
  readonly healthPath?: string | undefined;
}

/** Limits of a caller's request and connection. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

export interface RouteConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** `undefined` if callers need no key; an empty list accepts no key. */
  readonly teams: readonly Team[] | undefined;
}
