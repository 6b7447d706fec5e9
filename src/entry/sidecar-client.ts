import type { IncomingHttpHeaders } from 'node:http';
import { Agent, type Dispatcher, request } from 'undici';
import * as z from 'zod';
import type { Target } from '../configuration';
import { type Component, MartenbayError, formatAddress, messageOf } from '../core';
import { readBeginning, readBody } from '../http';
import { ATTEMPT_PREFIX, CALL_PREFIX, HEADERS } from '../protocol';
import { type Claim, answerSchema } from '../state';

/** A target or its sidecar did not answer a call. */
export class CallError extends MartenbayError {
  /** Whether the call provably did not run. */
  readonly notRun: boolean;

  constructor(message: string, notRun: boolean, cause?: unknown) {
    super([{ code: 'call_failed', path: [], message }], { cause });
    this.notRun = notRun;
  }
}

export interface TargetCall {
  readonly method: string;
  /** Path and query to request at the target. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Buffer;
  readonly attempt: string;
  /** Id of the program whose history the target caches. */
  readonly program: string;
  /** Sidecar incarnation; undefined for a repeatable call. */
  readonly claim: string | undefined;
  readonly signal: AbortSignal;
}

export interface TargetResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: AsyncIterable<Buffer>;
}

/** State of an attempt, as reported by the target's sidecar. */
const attemptStateSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('running') }),
  z.object({ state: z.literal('answered'), answer: answerSchema }),
  z.object({ state: z.literal('unknown') }),
  z.object({ state: z.literal('revoked') }),
]);
export type AttemptState = Readonly<z.output<typeof attemptStateSchema>>;

/** Connection errors that occur before any byte of the call is sent. */
const CONNECT_FAILURES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const CONNECT_TIMEOUT_MILLISECONDS = 1000;

/** Part of a refusal's body that is reported. */
const ERROR_TEXT_BYTES = 500;

/** An answer of 1 MiB in base64, and what is said about it. */
const ATTEMPT_STATE_LIMIT_BYTES = 2 * 1024 * 1024;

export class SidecarClient implements Component {
  readonly #credential: string;
  readonly #agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(credential: string) {
    this.#credential = credential;
  }

  async stop(): Promise<void> {
    // Calls in flight have been ended, or were given up by a stop that ends all.
    await this.#agent.destroy();
  }

  /**
   * Sends a call; resolves when the status and headers of the response have arrived.
   *
   * @throws {@link CallError} when the target did not respond or the sidecar refused the call
   */
  async send(target: Target, call: TargetCall): Promise<TargetResponse> {
    const response = await this.#request(target, call);
    const outcome = response.headers[HEADERS.outcome];
    if (outcome === undefined) {
      return { status: response.statusCode, headers: response.headers, body: response.body };
    }
    const text = await readBeginning(response.body, ERROR_TEXT_BYTES);
    throw new CallError(`${target.name} refused: ${text}`, outcome === 'not-run');
  }

  /** Revokes an attempt that the sidecar has not admitted; resolves with its resulting state. */
  async settle(
    target: Target,
    attempt: string,
    claim: Claim,
    signal: AbortSignal,
  ): Promise<AttemptState> {
    const path = `${ATTEMPT_PREFIX}/${encodeURIComponent(attempt)}`;
    const response = await request(`http://${formatAddress(target.address)}${path}`, {
      dispatcher: this.#agent,
      method: 'POST',
      headers: { [HEADERS.credential]: this.#credential, [HEADERS.claim]: claim.incarnation },
      signal,
    });
    const body = await readBody(response.body, ATTEMPT_STATE_LIMIT_BYTES);
    if (body === undefined) {
      throw new CallError(
        `the state of an attempt exceeds ${ATTEMPT_STATE_LIMIT_BYTES} bytes`,
        false,
      );
    }
    return attemptStateSchema.parse(JSON.parse(body.toString()));
  }

  async #request(target: Target, call: TargetCall): Promise<Dispatcher.ResponseData> {
    const { method, path, headers, body, attempt, program, claim, signal } = call;
    if (signal.aborted) throw new CallError(`not sent: ${messageOf(signal.reason)}`, true);
    try {
      return await request(`http://${formatAddress(target.address)}${CALL_PREFIX}${path}`, {
        dispatcher: this.#agent,
        method,
        headers: {
          ...(headers as Record<string, string | string[]>),
          [HEADERS.credential]: this.#credential,
          [HEADERS.attempt]: attempt,
          [HEADERS.program]: program,
          ...(claim === undefined ? {} : { [HEADERS.claim]: claim }),
        },
        body: body.length === 0 ? null : body,
        signal,
      });
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code ?? '';
      throw new CallError(
        `${target.name} gave no answer: ${messageOf(error)}`,
        CONNECT_FAILURES.has(code),
        error,
      );
    }
  }
}
