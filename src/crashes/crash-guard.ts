import type { Clock, Logger, Metrics } from '../core';
import type { CrashDetector } from './crash-detector';
import type { CrashExchange } from './crash-exchange';
import type { ExposureTable } from './exposure-table';
import type { RequestIdentity } from './fingerprint';
import { RequestCrashes } from './request-crashes';

/** One try of a caller. */
export interface TrackedRequest {
  readonly id: string;
  readonly program: string | undefined;
  /** IP address of the caller; undefined if it is not known. */
  readonly caller: string | undefined;
  readonly identity: () => RequestIdentity;
  /** Adds a decision to the log line of the request. */
  readonly recordDecision: (decision: Record<string, unknown>) => void;
}

/** An attempt after which nothing shows that its target lives on. */
export interface UnresolvedAttempt {
  readonly outcome: string;
  /** Whether a part of the response was received. */
  readonly began?: boolean | undefined;
  readonly status?: number | undefined;
  /**
   * `connection-lost`: the target or a link ended the connection. `uncertain`: the caller left, or the
   * target answered with an error. `silence`: there was no response until the deadline.
   */
  readonly kind: 'connection-lost' | 'uncertain' | 'silence';
}

export interface CrashGuardOptions {
  /** Name of this gateway. */
  readonly gateway: string;
  readonly table: ExposureTable;
  readonly detector: Pick<
    CrashDetector,
    | 'recordLostConnection'
    | 'recordUncertain'
    | 'recordSilence'
    | 'recordResponse'
    | 'recordAddressReused'
    | 'recordRefusedConnection'
    | 'check'
  >;
  readonly exchange: Pick<
    CrashExchange,
    | 'report'
    | 'reportAnswered'
    | 'isInformed'
    | 'whenAsked'
    | 'begin'
    | 'settle'
    | 'addOverlaps'
    | 'verifyRunning'
  >;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Stops requests under which too many targets have ended, whichever gateways their tries met. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
    options.metrics.gauge('requests_with_crashes', () => options.table.size);
  }

  track(request: TrackedRequest): RequestCrashes {
    return new RequestCrashes(this.#options, request);
  }
}
