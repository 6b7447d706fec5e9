import type { Configuration, Service, Team } from '../configuration';
import { messageOf } from '../core';
import { type MemoryBoundBodyOptions, memoryBoundBody, readBody } from '../http';
import { HEADERS, parseLoad } from '../protocol';
import type { CallAnswer } from '../state';
import type { EntryContext } from './context';
import type { AvailableTarget } from './directory';
import type { CallHeaders } from './request';
import { CallError, type TargetResponse } from './sidecar-client';

/** A parsed and authenticated call to a plain service. */
export interface ServiceCall {
  readonly configuration: Configuration;
  readonly team: Team;
  readonly service: Service;
  readonly headers: CallHeaders;
  readonly method: string;
  readonly path: string;
  readonly forwardedHeaders: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly program: string;
  /** The call names no program: it runs as a program of one step, which ends with it. */
  readonly isStandalone: boolean;
  readonly repeatable: boolean;
}

const RESPONSE_LIMIT_BYTES = 1024 * 1024;

export interface ServiceAttempt {
  readonly target: AvailableTarget;
  readonly attempt: string;
  /** Whether the call is non-repeatable and recorded with its target. */
  readonly claimed: boolean;
  readonly signal: AbortSignal;
}

/** Sends a call to the sidecar of a target and reads the complete response. */
export async function sendCall(
  context: EntryContext,
  call: ServiceCall,
  serviceAttempt: ServiceAttempt,
): Promise<CallAnswer> {
  const { target, attempt, claimed, signal } = serviceAttempt;
  const { name } = target.target;
  context.directory.recordCallStart(name);
  try {
    const response = await context.sidecars.send(target.target, {
      method: call.method,
      path: call.path,
      headers: call.forwardedHeaders,
      body: call.body,
      attempt,
      program: call.program,
      claim: claimed ? target.incarnation : undefined,
      signal,
    });
    const load = parseLoad(response.headers[HEADERS.load] as string | undefined);
    if (load !== undefined) context.directory.observeLoad(name, load);
    return await readCompleteResponse(response, { memory: context.responseMemory, signal });
  } catch (error) {
    const endedUnsent = signal.aborted && error instanceof CallError && error.notRun;
    if (!endedUnsent) context.directory.startCooldown(name);
    if (error instanceof CallError) throw error;
    throw new CallError(`${name} broke off its answer: ${messageOf(error)}`, false, error);
  } finally {
    context.directory.recordCallEnd(name);
  }
}

async function readCompleteResponse(
  response: TargetResponse,
  options: MemoryBoundBodyOptions,
): Promise<CallAnswer> {
  const body = await readBody(memoryBoundBody(response.body, options), RESPONSE_LIMIT_BYTES);
  if (body === undefined) {
    throw new CallError(`the answer is larger than ${RESPONSE_LIMIT_BYTES} bytes`, false);
  }
  const contentType = response.headers['content-type'] ?? 'application/octet-stream';
  return { kind: 'call', status: response.status, contentType, body: body.toString('base64') };
}
