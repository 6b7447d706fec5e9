/** What a gateway knows of a target that ran a request. */
export type ExposureStatus =
  /** The request was sent to it, and there is no outcome yet. */
  | 'running'
  /** The attempt ended without a sign that the target lives on. */
  | 'unresolved'
  | 'ended'
  /** The attempt was answered, or the target was found running after it. */
  | 'cleared';

/** An attempt of a suspect request, as gateways tell each other of it. */
export interface ExposureNotice {
  /** Id of the request, which differs between the tries of a caller. */
  readonly request: string;
  /** Id of the target. */
  readonly target: string;
  /** Service of the target. */
  readonly service: string;
  /** IP:port of the target. */
  readonly address: string;
  /** Name of the gateway that made the attempt. */
  readonly gateway: string;
  /** IP address of the caller; undefined if it is not known. */
  readonly caller?: string | undefined;
  /** Whether the request belongs to a program, whose equal requests follow one another. */
  readonly isSequential?: boolean | undefined;
  readonly status: ExposureStatus;
  /** Time since the attempt ended, or began if it is running, at the time of sending. */
  readonly agoMilliseconds: number;
}

/** All attempts of a request under which targets ended or may have ended that the sender knows of. */
export interface ExposureReport {
  readonly fingerprint: string;
  readonly exposures: readonly ExposureNotice[];
}

/** An attempt that a gateway is about to make. */
export interface AttemptNotice extends ExposureNotice {
  readonly fingerprint: string;
}

/** An attempt whose outcome is known to the gateway that made it. */
export interface SettledAttempt {
  readonly fingerprint: string;
  /** Id of the request. */
  readonly request: string;
  /** Id of the target. */
  readonly target: string;
}

/** Messages between gateways about requests under which targets end. */
export interface CrashContract {
  readonly calls: {
    /** To a holder, which answers with all attempts that it knows of. */
    readonly 'crashes.report': {
      readonly request: ExposureReport;
      readonly answer: ExposureReport;
    };
    /**
     * From a gateway that has started or was paused; answered with all suspect requests, and those
     * that it holds.
     */
    readonly 'crashes.suspects': {
      readonly request: { readonly gateway: string };
      readonly answer: readonly ExposureReport[];
    };
  };
  readonly casts: {
    /** From a holder to all gateways, once another crash may reach the limit. */
    readonly 'crashes.suspect': ExposureReport;
    /** To two other gateways, before each attempt at a request of a program and after it. */
    readonly 'crashes.attempts': {
      readonly begun: readonly AttemptNotice[];
      readonly settled: readonly SettledAttempt[];
    };
    /** A target has answered the request in whole. */
    readonly 'crashes.answered': {
      readonly fingerprint: string;
      /** Id of the request that was answered. */
      readonly request: string;
      /** Time since the start of the attempt. */
      readonly agoMilliseconds: number;
    };
  };
}
