import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Configuration, Service, Team } from '../configuration';
import { digestPrefixes, digestValue } from '../core';
import type { Answer, BeginStep, Message, TurnAnswer } from '../state';
import { formatCompletion, normalizeMessage } from './chat-answer';
import { type ChatRequest, chatRequestSchema } from './chat-schema';
import { ChatStream } from './chat-stream';
import { type EntryContext, configurationOf, startDeadline } from './context';
import { type EngineTurn, TurnFailure, runTurn } from './engine-turn';
import { passThrough } from './pass-through';
import { Refusal, notRun } from './refusal';
import { type CallHeaders, authenticate, parseCallHeaders, parseJson, readBody } from './request';
import { abandonStep, beginStep, completeStep, createInput } from './step';

/** Everything known of one chat call before its program is asked. */
interface ChatCall {
  readonly configuration: Configuration;
  readonly team: Team;
  readonly service: Service;
  readonly headers: CallHeaders;
  readonly request: ChatRequest;
  readonly messages: readonly Message[];
  readonly program: string;
  readonly attempt: string;
  /** The call is a program of its own, which ends with it. */
  readonly alone: boolean;
}

/** Answers `POST /v1/chat/completions`. */
export async function handleChat(
  context: EntryContext,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const configuration = configurationOf(context);
  const team = authenticate(incoming, configuration);
  const headers = parseCallHeaders(
    incoming,
    context.clock,
    context.settings['default-deadline-milliseconds'],
  );
  const body = await readBody(incoming, context.settings['body-limit-bytes']);
  const request = parseJson(chatRequestSchema, body);
  const service = findEngine(configuration, request.model);
  if (service.adoption !== 'managed') {
    await passThrough(context, service, { incoming, response, body, path: '/v1/chat/completions' });
    return;
  }
  await serveChat(context, response, {
    configuration,
    team,
    service,
    headers,
    request,
    messages: request.messages.map(normalizeMessage),
    program: headers.program ?? context.programIds.create(configuration),
    attempt: context.random.hex(12),
    alone: headers.program === undefined,
  });
}

function findEngine(configuration: Configuration, model: string): Service {
  const service = configuration.services.find(
    (entry) => entry.type === 'engine' && entry.model === model,
  );
  if (service !== undefined) return service;
  throw notRun(404, 'unknown-model', `no service has the model "${model}"`);
}

async function serveChat(
  context: EntryContext,
  response: ServerResponse,
  call: ChatCall,
): Promise<void> {
  const includeUsage = call.request.stream_options?.include_usage === true;
  const stream = call.request.stream === true ? new ChatStream(response, includeUsage) : undefined;
  const step = buildStep(context, call);
  const begun = await beginStep(context, step, call.headers.deadline);
  if (begun.kind === 'replay') {
    sendAnswer(response, stream, turnAnswerOf(begun.answer));
    return;
  }
  const { run } = begun;
  const added = call.headers.appendsHistory ? call.messages : call.messages.slice(run.historyCount);
  if (added.length === 0) {
    await abandonStep(context, failedAttempt(call, run.sequence, false, []));
    throw notRun(409, 'bad-request', 'the list has no message that is new to the program');
  }
  const deadline = Math.min(
    call.headers.deadline,
    monotonicDeadline(context, run.programDeadlineAt),
  );
  const { controller, cancel } = startDeadline(context.clock, deadline);
  if (call.alone) abortWhenCallerLeaves(response, controller);
  const turn: EngineTurn = {
    ...call,
    run,
    messages: call.headers.appendsHistory ? [...run.history, ...added] : call.messages,
    newTokens: step.newTokens,
    outputTokens: step.outputTokens,
    stream,
    signal: controller.signal,
  };
  try {
    const answer = await runAndStore(context, call, turn, added);
    sendAnswer(response, stream, answer);
  } finally {
    cancel();
  }
}

/** The last tokens may be on their way; nobody will ask for the answer of a lone call again. */
function abortWhenCallerLeaves(response: ServerResponse, controller: AbortController): void {
  response.once('close', () => {
    if (!response.writableEnded) controller.abort(new Error('the caller left'));
  });
}

async function runAndStore(
  context: EntryContext,
  call: ChatCall,
  turn: EngineTurn,
  added: readonly Message[],
): Promise<TurnAnswer> {
  const { sequence } = turn.run;
  try {
    const { answer, target } = await runTurn(context, turn);
    const stored = await completeStep(context, {
      program: call.program,
      sequence,
      attempt: call.attempt,
      answer,
      messages: [...added, normalizeMessage(answer.message)],
      usage: answer.usage,
      target,
      end: call.alone,
    });
    if (stored !== answer && turn.stream?.begun === true) throw supersededStream();
    return turnAnswerOf(stored);
  } catch (error) {
    const holders = error instanceof TurnFailure ? error.holders : [];
    const spent = !(error instanceof TurnFailure && holders.length === 0);
    const failed = failedAttempt(call, sequence, spent, holders);
    if (error instanceof TurnFailure) await abandonStep(context, failed);
    else void abandonStep(context, failed);
    throw error instanceof TurnFailure ? error.refusal : error;
  }
}

/** What the caller has read is not the answer that counts; it asks again and gets that one. */
function supersededStream(): Refusal {
  const message = 'another entry took this step over; ask again for its answer';
  return new Refusal({ status: 503, code: 'superseded', message, outcome: 'unknown' });
}

function failedAttempt(
  call: ChatCall,
  sequence: number,
  spent: boolean,
  holders: readonly string[],
) {
  return { program: call.program, sequence, attempt: call.attempt, spent, holders };
}

function buildStep(context: EntryContext, call: ChatCall): BeginStep {
  const { request, service, headers, team, program, messages } = call;
  const outputTokens =
    request.max_completion_tokens ?? request.max_tokens ?? service['output-tokens'];
  const bytes = Buffer.byteLength(JSON.stringify(request.messages));
  return {
    program,
    team: team.name,
    ...(headers.sequence === undefined ? {} : { sequence: headers.sequence }),
    attempt: call.attempt,
    entry: context.identity,
    service: service.name,
    requestDigest: digestValue({ ...request, messages, stream: null, stream_options: null }),
    ...(call.alone ? { create: createInput(context, program, team) } : {}),
    history: headers.appendsHistory
      ? { kind: 'append' }
      : { kind: 'whole', digests: digestPrefixes(messages) },
    newTokens: Math.ceil(bytes / service['bytes-per-token']),
    outputTokens,
  };
}

function monotonicDeadline(context: EntryContext, wallTime: number): number {
  return context.clock.monotonic() + (wallTime - context.clock.now());
}

function turnAnswerOf(answer: Answer): TurnAnswer {
  if (answer.kind === 'turn') return answer;
  throw notRun(409, 'bad-request', 'this sequence was a service call');
}

function sendAnswer(
  response: ServerResponse,
  stream: ChatStream | undefined,
  answer: TurnAnswer,
): void {
  if (stream === undefined) {
    response
      .writeHead(200, { 'content-type': 'application/json' })
      .end(JSON.stringify(formatCompletion(answer)));
  } else if (stream.begun) {
    stream.finish(answer);
  } else {
    stream.replay(answer);
  }
}
