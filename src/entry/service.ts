import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Service, Team } from '../configuration';
import { digestText, digestValue } from '../core';
import type { BeginStep, CallAnswer } from '../state';
import {
  type EntryContext,
  receiveBody,
  refusalIfStopEndsBefore,
  requireConfiguration,
  startDeadline,
} from './context';
import { endToEndHeaders, passThrough } from './pass-through';
import { type Refusal, notRunRefusal } from './refusal';
import { abandonInput, closeFailedStep, toCallRefusal } from './service-failure';
import { type CallHeaders, authenticate, parseCallHeaders } from './request';
import { chooseTarget } from './target-selection';
import { isRepeatable, parseServicePath } from './service-path';
import { type ServiceCall, sendCall } from './service-call';
import { CallError } from './sidecar-client';
import { abandonStep, beginStep, completeStep, createProgramInput } from './step';

const MAX_ATTEMPTS = 3;

/** Handles `/services/{service}/...`. */
export async function handleService(
  context: EntryContext,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const configuration = requireConfiguration(context);
  const team = authenticate(incoming, configuration);
  const { service: name, path } = parseServicePath(incoming.url ?? '');
  const service = configuration.services.find((entry) => entry.name === name);
  if (service?.type !== 'plain') {
    throw notRunRefusal(404, 'not-found', `no plain service "${name}"`);
  }
  const headers = parseCallHeaders(
    incoming,
    context.clock,
    context.settings['default-deadline-milliseconds'],
  );
  const body = await receiveBody(context, incoming);
  if (service.adoption !== 'managed') {
    await passThrough(context, service, {
      incoming,
      response,
      body,
      path,
      deadline: headers.deadline,
    });
    return;
  }
  const method = incoming.method ?? 'GET';
  const answer = await serveCall(context, {
    configuration,
    team,
    service,
    headers,
    method,
    path,
    forwardedHeaders: selectForwardedHeaders(incoming),
    body,
    program: headers.program ?? standaloneProgramId(context, team, service, headers),
    isStandalone: headers.program === undefined,
    repeatable: isRepeatable(service, method, path),
  });
  const bytes = Buffer.from(answer.body, 'base64');
  response
    .writeHead(answer.status, {
      'content-type': answer.contentType,
      'content-length': bytes.length,
    })
    .end(bytes);
}

/** The program of a standalone call; a repeated request with the same key finds the same one. */
function standaloneProgramId(
  context: EntryContext,
  team: Team,
  service: Service,
  headers: CallHeaders,
): string {
  const { idempotencyKey } = headers;
  if (idempotencyKey === undefined) return context.programIds.create(requireConfiguration(context));
  return context.programIds.deriveFromKey([team.name, service.name, idempotencyKey]);
}

/** Omits the caller's martenbay key, which services must not receive. */
function selectForwardedHeaders(incoming: IncomingMessage): Record<string, string | string[]> {
  return endToEndHeaders({ ...incoming.headers, authorization: undefined });
}

function serveCall(context: EntryContext, call: ServiceCall): Promise<CallAnswer> {
  const unrecorded =
    call.repeatable && call.isStandalone && call.headers.idempotencyKey === undefined;
  if (unrecorded) return serveUnrecorded(context, call);
  return serveStep(context, call);
}

/** Runs a repeatable call that belongs to no program, without recording it. */
async function serveUnrecorded(context: EntryContext, call: ServiceCall): Promise<CallAnswer> {
  checkServiceAllowed(call);
  const { controller, cancel } = startDeadline(context, call.headers.deadline);
  const excluded = new Set<string>();
  let failure: unknown;
  try {
    for (let attemptNumber = 1; attemptNumber <= MAX_ATTEMPTS; attemptNumber += 1) {
      try {
        const attempt = `${call.program}.${attemptNumber}`;
        const target = chooseServiceTarget(context, call, 1, attemptNumber, excluded);
        return await sendCall(context, call, {
          target,
          attempt,
          claimed: false,
          signal: controller.signal,
        });
      } catch (error) {
        if (!(error instanceof CallError))
          throw failure === undefined ? error : toCallRefusal(failure, call, controller.signal);
        failure = error;
        if (controller.signal.aborted) break;
      }
    }
    throw toCallRefusal(failure, call, controller.signal);
  } finally {
    cancel();
  }
}

function checkServiceAllowed(call: ServiceCall): void {
  const programKind = call.configuration.programs.find(
    (entry) => entry.name === call.team['default-program'],
  );
  if (programKind?.services.includes(call.service.name) === true) return;
  const message = `team "${call.team.name}" may not call "${call.service.name}" by default`;
  throw notRunRefusal(403, 'service-not-allowed', message);
}

type ChosenTarget = ReturnType<typeof chooseTarget>;

function chooseServiceTarget(
  context: EntryContext,
  call: ServiceCall,
  sequence: number,
  attemptNumber: number,
  excluded: ReadonlySet<string>,
): ChosenTarget {
  return chooseTarget(context, call.configuration, call.service, {
    program: call.program,
    service: call.service.name,
    sequence,
    attemptNumber,
    lastTarget: undefined,
    contextTokens: 0,
    newTokens: 0,
    excluded,
    lastTurnEndedAt: undefined,
  });
}

/**
 * Runs a call as a step of its program. A non-repeatable call is recorded with its target before it
 * is sent, and retried on another target only if it provably did not run.
 */
async function serveStep(context: EntryContext, call: ServiceCall): Promise<CallAnswer> {
  const stopRefusal = refusalOfInterruptedCall(context, call, call.headers.deadline);
  if (stopRefusal !== undefined) throw stopRefusal;
  const excluded = new Set<string>();
  for (let attemptNumber = 1; ; attemptNumber += 1) {
    const attempt = context.random.hex(12);
    const target = chooseServiceTarget(
      context,
      call,
      call.headers.sequence ?? 0,
      attemptNumber,
      excluded,
    );
    const result = await beginStep(
      context,
      buildStep(context, call, attempt, target),
      call.headers.deadline,
    );
    if (result.kind === 'replay') return callAnswerOf(result.answer);
    const { sequence, programDeadlineAt } = result.run;
    const programDeadline = context.clock.monotonic() + programDeadlineAt - context.clock.now();
    const deadline = Math.min(call.headers.deadline, programDeadline);
    const refusal = refusalOfInterruptedCall(context, call, deadline);
    if (refusal !== undefined) {
      await abandonStep(context, abandonInput(call, sequence, attempt));
      throw refusal;
    }
    const { controller, cancel } = startDeadline(context, deadline);
    const claimed = !call.repeatable;
    try {
      const serviceAttempt = { target, attempt, claimed, signal: controller.signal };
      const answer = await sendCall(context, call, serviceAttempt);
      return await storeAnswer(context, call, sequence, attempt, target.target.name, answer);
    } catch (error) {
      const mayRetry = error instanceof CallError && (error.notRun || call.repeatable);
      if (!mayRetry || attemptNumber === MAX_ATTEMPTS || controller.signal.aborted) {
        await closeFailedStep(context, call, sequence, attempt, error);
        throw toCallRefusal(error, call, controller.signal);
      }
      excluded.add(target.target.name);
      await abandonStep(context, abandonInput(call, sequence, attempt));
    } finally {
      cancel();
    }
  }
}

/** A call that can't be repeated is refused rather than interrupted by a planned stop. */
function refusalOfInterruptedCall(
  context: EntryContext,
  call: ServiceCall,
  deadline: number,
): Refusal | undefined {
  return call.repeatable ? undefined : refusalIfStopEndsBefore(context, deadline);
}

function buildStep(
  context: EntryContext,
  call: ServiceCall,
  attempt: string,
  target: ChosenTarget,
): BeginStep {
  const { headers, team, service, program, method, path, body } = call;
  const claim = { target: target.target.name, incarnation: target.incarnation };
  return {
    program,
    team: team.name,
    ...(headers.sequence === undefined ? {} : { sequence: headers.sequence }),
    ...(headers.idempotencyKey === undefined ? {} : { key: headers.idempotencyKey }),
    ...(call.isStandalone
      ? { sequence: 1, create: createProgramInput(context, program, team) }
      : {}),
    attempt,
    entry: context.identity,
    service: service.name,
    requestDigest: digestValue([service.name, method, path, digestText(body.toString('base64'))]),
    history: { kind: 'none' },
    ...(call.repeatable ? {} : { claim }),
    newTokens: 0,
    outputTokens: 0,
  };
}

async function storeAnswer(
  context: EntryContext,
  call: ServiceCall,
  sequence: number,
  attempt: string,
  target: string,
  answer: CallAnswer,
): Promise<CallAnswer> {
  const stored = await completeStep(context, {
    program: call.program,
    sequence,
    attempt,
    answer,
    messages: [],
    target,
    end: call.isStandalone,
  });
  return callAnswerOf(stored);
}

function callAnswerOf(answer: { readonly kind: string }): CallAnswer {
  if (answer.kind === 'call') return answer as CallAnswer;
  throw notRunRefusal(409, 'bad-request', 'this sequence was an engine turn');
}
