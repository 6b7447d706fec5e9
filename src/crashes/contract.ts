/** A crash, as gateways tell each other of it. */
export interface CrashNotice {
  /** Id of the request, which differs between the tries of a caller. */
  readonly request: string;
  /** Id of the target. */
  readonly target: string;
  /** Name of the gateway that saw it. */
  readonly gateway: string;
  /** Time since the connection was lost, at the time of sending. */
  readonly agoMilliseconds: number;
}

/** All crashes of a request that the sender knows of. */
export interface CrashReport {
  readonly fingerprint: string;
  readonly crashes: readonly CrashNotice[];
}

/** Messages between gateways about requests under which targets end. */
export interface CrashContract {
  readonly calls: {
    /** To a holder, which answers with all crashes that it knows of. */
    readonly 'crashes.report': { readonly request: CrashReport; readonly answer: CrashReport };
    /** From a gateway that has started; answered with all suspect requests. */
    readonly 'crashes.suspects': {
      readonly request: null;
      readonly answer: readonly CrashReport[];
    };
  };
  readonly casts: {
    /** From a holder to all gateways, once another crash may reach the limit. */
    readonly 'crashes.suspect': CrashReport;
    /** A target has answered the request in whole. */
    readonly 'crashes.answered': {
      readonly fingerprint: string;
      /** Time since the start of the attempt. */
      readonly agoMilliseconds: number;
    };
  };
}
