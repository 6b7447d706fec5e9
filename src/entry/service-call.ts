import type { Configuration, Service, Team } from '../configuration';
import { messageOf } from '../core';
import { HEADERS, parseLoad } from '../protocol';
import type { CallAnswer } from '../state';
import type { EntryContext } from './context';
import type { KnownTarget } from './directory';
import type { CallHeaders } from './request';
import { CallError, type TargetAnswer } from './sidecar-client';

/** One call of a plain service. */
export interface ServiceCall {
  readonly configuration: Configuration;
  readonly team: Team;
  readonly service: Service;
  readonly headers: CallHeaders;
  readonly method: string;
  readonly path: string;
  readonly forwarded: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly program: string;
  readonly alone: boolean;
  readonly repeatable: boolean;
}

/** Largest answer that is kept with its program, in bytes. */
const ANSWER_LIMIT_BYTES = 1024 * 1024;

/** One attempt to send a call. */
export interface Sending {
  readonly target: KnownTarget;
  readonly attempt: string;
  readonly claimed: boolean;
  readonly signal: AbortSignal;
}

/** Sends a call to the sidecar of a target and reads the whole answer. */
export async function sendTo(
  context: EntryContext,
  call: ServiceCall,
  sending: Sending,
): Promise<CallAnswer> {
  const { target, attempt, claimed, signal } = sending;
  const { name } = target.target;
  context.directory.callStarted(name);
  try {
    const answer = await context.sidecars.send(target.target, {
      method: call.method,
      path: call.path,
      headers: call.forwarded,
      body: call.body,
      attempt,
      program: call.program,
      claim: claimed ? target.incarnation : undefined,
      signal,
    });
    const load = parseLoad(answer.headers[HEADERS.load] as string | undefined);
    if (load !== undefined) context.directory.observeLoad(name, load);
    return await readWhole(answer);
  } catch (error) {
    context.directory.setAside(name);
    if (error instanceof CallError) throw error;
    throw new CallError(`${name} broke off its answer: ${messageOf(error)}`, false, error);
  } finally {
    context.directory.callEnded(name);
  }
}

async function readWhole(answer: TargetAnswer): Promise<CallAnswer> {
  const body = Buffer.from(await answer.body.arrayBuffer());
  if (body.length > ANSWER_LIMIT_BYTES) {
    throw new CallError(`the answer is larger than ${ANSWER_LIMIT_BYTES} bytes`, false);
  }
  const contentType = answer.headers['content-type'] ?? 'application/octet-stream';
  return { kind: 'call', status: answer.status, contentType, body: body.toString('base64') };
}
