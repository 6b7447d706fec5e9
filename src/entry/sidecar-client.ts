import type { IncomingHttpHeaders } from 'node:http';
import { Agent, type Dispatcher, request } from 'undici';
import * as z from 'zod';
import type { Target } from '../configuration';
import { type Component, MartenbayError, formatAddress, messageOf } from '../core';
import { ATTEMPT_PREFIX, CALL_PREFIX, HEADERS } from '../protocol';
import { type Claim, answerSchema } from '../state';

/** A call got no answer from a target or its sidecar. */
export class CallError extends MartenbayError {
  /** Whether the call provably did not run. */
  readonly notRun: boolean;

  constructor(message: string, notRun: boolean, cause?: unknown) {
    super([{ code: 'call_failed', path: [], message }], { cause });
    this.notRun = notRun;
  }
}

/** A call on its way to a target. */
export interface TargetCall {
  readonly method: string;
  /** Path and query at the target. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Buffer;
  readonly attempt: string;
  /** Program whose cache the call builds up. */
  readonly program: string;
  /** Sidecar incarnation; present for a call that may not be repeated. */
  readonly claim: string | undefined;
  readonly signal: AbortSignal;
}

export interface TargetAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Dispatcher.ResponseData['body'];
}

/** Where an attempt stands, as its sidecar tells. */
const attemptStateSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('running') }),
  z.object({ state: z.literal('answered'), answer: answerSchema }),
  z.object({ state: z.literal('unknown') }),
  z.object({ state: z.literal('revoked') }),
]);
export type SettledAttempt = Readonly<z.output<typeof attemptStateSchema>>;

/** Failures to connect: not one byte of the call was sent. */
const CONNECT_FAILURES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const CONNECT_TIMEOUT_MILLISECONDS = 1000;

/** Sends calls to the sidecars beside the targets. */
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
    await this.#agent.close();
  }

  /**
   * Sends a call and resolves with the head of the target's answer.
   *
   * @throws {@link CallError} when the target did not answer
   */
  async send(target: Target, call: TargetCall): Promise<TargetAnswer> {
    const answer = await this.#request(target, call);
    const outcome = answer.headers[HEADERS.outcome];
    if (outcome === undefined) {
      return { status: answer.statusCode, headers: answer.headers, body: answer.body };
    }
    const text = await answer.body.text();
    throw new CallError(`${target.name} refused: ${text.slice(0, 500)}`, outcome === 'not-run');
  }

  /** Revokes an attempt unless it was admitted; tells what became of it. */
  async settle(
    target: Target,
    attempt: string,
    claim: Claim,
    signal: AbortSignal,
  ): Promise<SettledAttempt> {
    const path = `${ATTEMPT_PREFIX}/${encodeURIComponent(attempt)}`;
    const answer = await request(`http://${formatAddress(target.address)}${path}`, {
      dispatcher: this.#agent,
      method: 'POST',
      headers: { [HEADERS.credential]: this.#credential, [HEADERS.claim]: claim.incarnation },
      signal,
    });
    return attemptStateSchema.parse(await answer.body.json());
  }

  async #request(target: Target, call: TargetCall): Promise<Dispatcher.ResponseData> {
    const { method, path, headers, body, attempt, program, claim, signal } = call;
    try {
      return await request(`http://${formatAddress(target.address)}${CALL_PREFIX}${path}`, {
        dispatcher: this.#agent,
        method: method,
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
