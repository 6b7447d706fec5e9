import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Service, Team } from '../configuration';
import { digestText, digestValue, messageOf } from '../core';
import type { BeginStep, CallAnswer } from '../state';
import { type EntryContext, configurationOf, startDeadline } from './context';
import { endToEndHeaders, passThrough } from './pass-through';
import { groupOf } from './program-ids';
import { Refusal, notRun } from './refusal';
import { type CallHeaders, authenticate, parseCallHeaders, readBody } from './request';
import { chooseTarget } from './route';
import { isRepeatable, parseServicePath } from './service-path';
import { type ServiceCall, sendTo } from './service-call';
import { CallError } from './sidecar-client';
import { abandonStep, beginStep, completeStep, createInput } from './step';

const TRY_LIMIT = 3;

/** Answers `/services/{service}/...`. */
export async function handleService(
  context: EntryContext,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const configuration = configurationOf(context);
  const team = authenticate(incoming, configuration);
  const { service: name, path } = parseServicePath(incoming.url ?? '');
  const service = configuration.services.find((entry) => entry.name === name);
  if (service?.type !== 'plain') {
    throw notRun(404, 'not-found', `no plain service "${name}"`);
  }
  const headers = parseCallHeaders(
    incoming,
    context.clock,
    context.settings['default-deadline-milliseconds'],
  );
  const body = await readBody(incoming, context.settings['body-limit-bytes']);
  if (service.adoption !== 'managed') {
    await passThrough(context, service, { incoming, response, body, path });
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
    forwarded: forwardedHeaders(incoming),
    body,
    program: headers.program ?? loneProgram(context, team, service, headers),
    alone: headers.program === undefined,
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

/** A call of its own is a program of one step; with a key, a resend finds the same program. */
function loneProgram(
  context: EntryContext,
  team: Team,
  service: Service,
  headers: CallHeaders,
): string {
  const { idempotencyKey } = headers;
  if (idempotencyKey === undefined) return context.programIds.create(configurationOf(context));
  return context.programIds.fromKey([team.name, service.name, idempotencyKey]);
}

/** The caller's key to martenbay is not the service's business. */
function forwardedHeaders(incoming: IncomingMessage): Record<string, string | string[]> {
  return endToEndHeaders({ ...incoming.headers, authorization: undefined });
}

function serveCall(context: EntryContext, call: ServiceCall): Promise<CallAnswer> {
  const unrecorded = call.repeatable && call.alone && call.headers.idempotencyKey === undefined;
  if (unrecorded) return serveUnrecorded(context, call);
  return serveStep(context, call);
}

/** A call that may be repeated and belongs to no program needs no record. */
async function serveUnrecorded(context: EntryContext, call: ServiceCall): Promise<CallAnswer> {
  checkAllowed(call);
  const { controller, cancel } = startDeadline(context.clock, call.headers.deadline);
  const excluded = new Set<string>();
  let failure: unknown;
  try {
    for (let count = 1; count <= TRY_LIMIT; count += 1) {
      try {
        const attempt = `${call.program}.${count}`;
        const target = choose(context, call, 1, count, excluded);
        return await sendTo(context, call, {
          target,
          attempt,
          claimed: false,
          signal: controller.signal,
        });
      } catch (error) {
        if (!(error instanceof CallError))
          throw failure === undefined ? error : describeFailure(failure, call);
        failure = error;
        if (controller.signal.aborted) break;
      }
    }
    throw describeFailure(failure, call);
  } finally {
    cancel();
  }
}

function checkAllowed(call: ServiceCall): void {
  const kind = call.configuration.programs.find(
    (entry) => entry.name === call.team['default-program'],
  );
  if (kind?.services.includes(call.service.name) === true) return;
  const message = `team "${call.team.name}" may not call "${call.service.name}" by default`;
  throw notRun(403, 'service-not-allowed', message);
}

type ChosenTarget = ReturnType<typeof chooseTarget>;

function choose(
  context: EntryContext,
  call: ServiceCall,
  sequence: number,
  count: number,
  excluded: ReadonlySet<string>,
): ChosenTarget {
  return chooseTarget(context, call.configuration, call.service, {
    program: call.program,
    service: call.service.name,
    sequence,
    try: count,
    lastTarget: undefined,
    contextTokens: 0,
    newTokens: 0,
    excluded,
  });
}

/**
 * Runs a call as a step of its program. A call that may not be repeated is recorded with the
 * target it is claimed at before it is sent, and tried elsewhere only if it provably did not run.
 */
async function serveStep(context: EntryContext, call: ServiceCall): Promise<CallAnswer> {
  const excluded = new Set<string>();
  for (let count = 1; ; count += 1) {
    const attempt = context.random.hex(12);
    const target = choose(context, call, call.headers.sequence ?? 0, count, excluded);
    const begun = await beginStep(
      context,
      buildStep(context, call, attempt, target),
      call.headers.deadline,
    );
    if (begun.kind === 'replay') return callAnswerOf(begun.answer);
    const { sequence, programDeadlineAt } = begun.run;
    const programDeadline = context.clock.monotonic() + programDeadlineAt - context.clock.now();
    const deadline = Math.min(call.headers.deadline, programDeadline);
    const { controller, cancel } = startDeadline(context.clock, deadline);
    const claimed = !call.repeatable;
    try {
      const sending = { target, attempt, claimed, signal: controller.signal };
      const answer = await sendTo(context, call, sending);
      return await storeAnswer(context, call, sequence, attempt, target.target.name, answer);
    } catch (error) {
      const mayRetry = error instanceof CallError && (error.notRun || call.repeatable);
      if (!mayRetry || count === TRY_LIMIT || controller.signal.aborted) {
        await leaveStep(context, call, sequence, attempt, error);
        throw describeFailure(error, call);
      }
      excluded.add(target.target.name);
      await abandonStep(context, abandoned(call, sequence, attempt));
    } finally {
      cancel();
    }
  }
}

/**
 * After a failure for good: a step that did not run or may be repeated can be begun again; one
 * whose outcome is open is settled as unknown, so that it never runs again.
 */
async function leaveStep(
  context: EntryContext,
  call: ServiceCall,
  sequence: number,
  attempt: string,
  error: unknown,
): Promise<void> {
  const proven = error instanceof CallError && error.notRun;
  if (proven || call.repeatable) {
    await abandonStep(context, abandoned(call, sequence, attempt));
    return;
  }
  const { program } = call;
  await context.control
    .call(
      (connection, signal) =>
        connection.steps.resolve.mutate(
          { program, sequence, attempt, finding: { kind: 'unknown' } },
          { signal },
        ),
      { group: groupOf(program) },
    )
    .catch((cause: unknown) => {
      context.logger.warn({ event: 'resolve-failed', program, sequence, cause: messageOf(cause) });
    });
}

function abandoned(call: ServiceCall, sequence: number, attempt: string) {
  return { program: call.program, sequence, attempt, spent: false, holders: [] };
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
    ...(call.alone ? { sequence: 1, create: createInput(context, program, team) } : {}),
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
    end: call.alone,
  });
  return callAnswerOf(stored);
}

function callAnswerOf(answer: { readonly kind: string }): CallAnswer {
  if (answer.kind === 'call') return answer as CallAnswer;
  throw notRun(409, 'bad-request', 'this sequence was an engine turn');
}

function describeFailure(error: unknown, call: ServiceCall): Refusal {
  if (error instanceof Refusal) return error;
  const proven = error instanceof CallError && error.notRun;
  const message = `"${call.service.name}" gave no answer: ${messageOf(error)}`;
  return new Refusal({
    status: proven ? 503 : 502,
    code: proven ? 'no-target' : 'target-failed',
    message,
    outcome: proven ? 'not-run' : 'unknown',
    cause: error,
  });
}
