import type { ServerResponse } from 'node:http';
import { MartenbayError } from '../core';
import { breakOff } from '../http';
import { HEADERS, type RunOutcome } from '../protocol';

/** Codes of refusals issued by the entry itself; those of the state are in `outcomes.ts`. */
export type RefusalCode =
  | 'bad-request'
  | 'unauthorized'
  | 'not-found'
  | 'service-not-allowed'
  | 'not-ours'
  | 'body-too-large'
  | 'unknown-model'
  | 'unknown-program'
  | 'unknown-parent'
  | 'no-target'
  | 'target-failed'
  | 'outcome-unknown'
  | 'earlier-step-missing'
  | 'step-running'
  | 'deadline-passed'
  | 'control-unavailable'
  | 'superseded'
  | 'stopping'
  | 'internal';

export interface RefusalOptions {
  readonly status: number;
  readonly code: string;
  readonly message: string;
  readonly outcome: RunOutcome;
  /** Value of the `Retry-After` header; 1 by default for status 429 and 503. */
  readonly retryAfterSeconds?: number;
  readonly cause?: unknown;
}

/** An error response: why the request failed, and whether it ran. */
export class Refusal extends MartenbayError {
  readonly status: number;
  readonly code: string;
  readonly outcome: RunOutcome;
  readonly retryAfterSeconds: number | undefined;

  constructor(options: RefusalOptions) {
    const { code, message } = options;
    super([{ code, path: [], message }], { cause: options.cause });
    this.status = options.status;
    this.code = code;
    this.outcome = options.outcome;
    this.retryAfterSeconds = options.retryAfterSeconds ?? defaultRetryAfter(options.status);
  }

  /** The JSON body: an OpenAI API error object with an additional `outcome`. */
  toBody(): RefusalBody {
    const { code, message, outcome } = this;
    return { error: { message, type: 'martenbay_refusal', code, outcome } };
  }
}

export interface RefusalBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
    readonly outcome: RunOutcome;
  };
}

function defaultRetryAfter(status: number): number | undefined {
  return status === 429 || status === 503 ? 1 : undefined;
}

export function notRunRefusal(status: number, code: RefusalCode, message: string): Refusal {
  return new Refusal({ status, code, message, outcome: 'not-run' });
}

/** With status 503, the call may be sent again at once, since another entry accepts it. */
export function stoppingRefusal(outcome: RunOutcome, cause?: unknown, status = 503): Refusal {
  return new Refusal({
    status,
    code: 'stopping',
    message:
      outcome === 'not-run'
        ? 'this entry is stopping; the call was not run'
        : 'this entry stopped before the answer was whole; the call may have run',
    outcome,
    ...(status === 503 ? { retryAfterSeconds: 0 } : {}),
    cause,
  });
}

/** Converts a thrown value; anything but a refusal becomes status 500 with outcome `unknown`. */
export function toRefusal(error: unknown): Refusal {
  if (error instanceof Refusal) return error;
  const message = 'an internal error; the log of this entry has the cause';
  return new Refusal({ status: 500, code: 'internal', message, outcome: 'unknown', cause: error });
}

/** Sends a refusal: as an event in a stream that has started, else as a JSON response. */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.destroyed) return;
  if (response.headersSent) {
    endStartedResponse(response, refusal);
    return;
  }
  const { retryAfterSeconds } = refusal;
  response
    .writeHead(refusal.status, {
      'content-type': 'application/json',
      [HEADERS.outcome]: refusal.outcome,
      ...(retryAfterSeconds === undefined ? {} : { 'retry-after': String(retryAfterSeconds) }),
    })
    .end(JSON.stringify(refusal.toBody()));
}

function endStartedResponse(response: ServerResponse, refusal: Refusal): void {
  const isEventStream = String(response.getHeader('content-type') ?? '').includes('event-stream');
  if (!isEventStream) {
    response.destroy();
    return;
  }
  const event = `data: ${JSON.stringify(refusal.toBody())}\n\n`;
  if (refusal.code === 'stopping') {
    // A client that ignores the event must not take the stream for complete.
    response.write(event, () => {
      breakOff(response);
    });
    return;
  }
  response.end(event);
}
