import type { Team } from '../teams';

/** What may be done again with a request whose outcome is not known. */
export type RequestKind =
  /** May run more than once. */
  | 'repeatable'
  /** Runs at most once for each request of a caller. */
  | 'once'
  /** Runs at most once and answers with a stream of events. */
  | 'stream';

/** A service that a route may send to, with its share of the requests. */
export interface RouteService {
  readonly service: string;
  readonly weight: number;
}

/** Where requests of one host and path prefix go, and what holds for them. Times in milliseconds. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a request is held. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer should begin. */
  readonly aimMilliseconds: number;
  /** 0 goes first. */
  readonly priority: number;
  readonly services: readonly RouteService[];
  /** Targets to which one request may be sent. */
  readonly attempts: number;
  /** Whether a stream may run again where its outcome is not known; repeatable calls always may. */
  readonly isResumable: boolean;
  /** Seconds for which whole turns are kept, where callers send only what is new. */
  readonly retentionSeconds: number | undefined;
  /** Whether callers without a key are served, where the configuration has teams. */
  readonly isPublic: boolean;
}

/** What an engine's service is set up with. */
export interface EngineSettings {
  /** Requests that it runs at the same time. */
  readonly slots: number;
  /** Tokens that its memory holds. */
  readonly cacheTokens: number;
  readonly tokensPerEvent: number;
}

export interface Service {
  readonly name: string;
  /** Connections that one target takes from all processes together. */
  readonly connectionLimit: number;
  readonly engine: EngineSettings | undefined;
}

/** Bounds of what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** A configuration of routes and services, as it is in force. */
export interface RouteConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Nothing where callers need no key; with an empty list no key is known. */
  readonly teams: readonly Team[] | undefined;
}
