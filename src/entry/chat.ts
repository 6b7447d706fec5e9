import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Configuration, Service, Team } from '../configuration';
import { digestPrefixes, digestValue } from '../core';
import type { Answer, BeginStep, Message, TurnAnswer } from '../state';
import { formatCompletion, normalizeMessage } from './chat-answer';
import { type ChatRequest, chatRequestSchema } from './chat-schema';
import { ChatStream } from './chat-stream';
import {
  type EntryContext,
  receiveBody,
  refusalIfStopEndsBefore,
  requireConfiguration,
  startDeadline,
} from './context';
import { type EngineTurn, TurnFailure, runTurn } from './engine-turn';
import { passThrough } from './pass-through';
import { Refusal, notRunRefusal } from './refusal';
import { type CallHeaders, authenticate, parseCallHeaders, parseJson } from './request';
import { abandonStep, beginStep, completeStep, createProgramInput } from './step';

/** A parsed and authenticated chat call. */
interface ChatCall {
  readonly configuration: Configuration;
  readonly team: Team;
  readonly service: Service;
  readonly headers: CallHeaders;
  readonly request: ChatRequest;
  readonly messages: readonly Message[];
  readonly program: string;
  readonly attempt: string;
  /** The call names no program: it runs as a program of one step, which ends with it. */
  readonly isStandalone: boolean;
}

/** Handles `POST /v1/chat/completions`. */
export async function handleChat(
  context: EntryContext,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const configuration = requireConfiguration(context);
  const team = authenticate(incoming, configuration);
  const headers = parseCallHeaders(
    incoming,
    context.clock,
    context.settings['default-deadline-milliseconds'],
  );
  const body = await receiveBody(context, incoming);
  const request = parseJson(chatRequestSchema, body);
  const service = findEngineService(configuration, request.model);
  if (service.adoption !== 'managed') {
    const { deadline } = headers;
    const path = '/v1/chat/completions';
    await passThrough(context, service, { incoming, response, body, path, deadline });
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
    isStandalone: headers.program === undefined,
  });
}

function findEngineService(configuration: Configuration, model: string): Service {
  const service = configuration.services.find(
    (entry) => entry.type === 'engine' && entry.model === model,
  );
  if (service !== undefined) return service;
  throw notRunRefusal(404, 'unknown-model', `no service has the model "${model}"`);
}

async function serveChat(
  context: EntryContext,
  response: ServerResponse,
  call: ChatCall,
): Promise<void> {
  const includeUsage = call.request.stream_options?.include_usage === true;
  const stream = call.request.stream === true ? new ChatStream(response, includeUsage) : undefined;
  const stopRefusal = refusalOfBrokenStream(context, stream, call.headers.deadline);
  if (stopRefusal !== undefined) throw stopRefusal;
  const step = buildStep(context, call);
  const result = await beginStep(context, step, call.headers.deadline);
  if (result.kind === 'replay') {
    sendAnswer(response, stream, turnAnswerOf(result.answer));
    return;
  }
  const { run } = result;
  const newMessages = call.headers.appendsHistory
    ? call.messages
    : call.messages.slice(run.historyCount);
  const deadline = Math.min(
    call.headers.deadline,
    monotonicDeadline(context, run.programDeadlineAt),
  );
  const refusal =
    newMessages.length === 0
      ? notRunRefusal(409, 'bad-request', 'the list has no message that is new to the program')
      : refusalOfBrokenStream(context, stream, deadline);
  if (refusal !== undefined) {
    await abandonStep(context, failedAttempt(call, run.sequence, false, []));
    throw refusal;
  }
  const { controller, cancel } = startDeadline(context, deadline);
  if (call.isStandalone) abortOnDisconnect(response, controller);
  const turn: EngineTurn = {
    ...call,
    run,
    messages: call.headers.appendsHistory ? [...run.history, ...newMessages] : call.messages,
    newTokens: step.newTokens,
    outputTokens: step.outputTokens,
    stream,
    signal: controller.signal,
  };
  try {
    const answer = await runAndStore(context, call, turn, newMessages);
    sendAnswer(response, stream, answer);
  } finally {
    cancel();
  }
}

/** A stream that a planned stop breaks off is lost to its caller; a whole answer is computed again. */
function refusalOfBrokenStream(
  context: EntryContext,
  stream: ChatStream | undefined,
  deadline: number,
): Refusal | undefined {
  return stream === undefined ? undefined : refusalIfStopEndsBefore(context, deadline);
}

/**
 * Aborts a standalone call when its caller disconnects, since nothing else can request its answer.
 * A response whose end was already written counts as delivered.
 */
function abortOnDisconnect(response: ServerResponse, controller: AbortController): void {
  const onClose = () => {
    if (!response.writableEnded)
      controller.abort(new Error('caller disconnected before the response was complete'));
  };
  if (response.destroyed) onClose();
  else response.once('close', onClose);
}

async function runAndStore(
  context: EntryContext,
  call: ChatCall,
  turn: EngineTurn,
  newMessages: readonly Message[],
): Promise<TurnAnswer> {
  const { sequence } = turn.run;
  try {
    const { answer, target } = await runTurn(context, turn);
    const stored = await completeStep(context, {
      program: call.program,
      sequence,
      attempt: call.attempt,
      answer,
      messages: [...newMessages, normalizeMessage(answer.message)],
      usage: answer.usage,
      target,
      end: call.isStandalone,
    });
    if (stored !== answer && turn.stream?.hasStarted === true) throw supersededStreamRefusal();
    return turnAnswerOf(stored);
  } catch (error) {
    const reachedTargets = error instanceof TurnFailure ? error.reachedTargets : [];
    const spent = !(error instanceof TurnFailure) || error.mayHaveRun;
    const failed = failedAttempt(call, sequence, spent, reachedTargets);
    if (error instanceof TurnFailure) await abandonStep(context, failed);
    else void abandonStep(context, failed);
    throw error instanceof TurnFailure ? error.refusal : error;
  }
}

/** The streamed events differ from the stored answer, which a repeated request receives. */
function supersededStreamRefusal(): Refusal {
  const message = 'another entry took this step over; ask again for its answer';
  return new Refusal({ status: 503, code: 'superseded', message, outcome: 'unknown' });
}

function failedAttempt(
  call: ChatCall,
  sequence: number,
  spent: boolean,
  reachedTargets: readonly string[],
) {
  return { program: call.program, sequence, attempt: call.attempt, spent, holders: reachedTargets };
}

function buildStep(context: EntryContext, call: ChatCall): BeginStep {
  const { request, service, headers, team, program, messages } = call;
  const outputTokens =
    request.max_completion_tokens ?? request.max_tokens ?? service['output-tokens'];
  const requestBytes = Buffer.byteLength(JSON.stringify(request.messages));
  return {
    program,
    team: team.name,
    ...(headers.sequence === undefined ? {} : { sequence: headers.sequence }),
    attempt: call.attempt,
    entry: context.identity,
    service: service.name,
    requestDigest: digestValue({ ...request, messages, stream: null, stream_options: null }),
    ...(call.isStandalone ? { create: createProgramInput(context, program, team) } : {}),
    history: headers.appendsHistory
      ? { kind: 'append' }
      : { kind: 'whole', digests: digestPrefixes(messages) },
    newTokens: Math.ceil(requestBytes / service['bytes-per-token']),
    outputTokens,
  };
}

/** Converts wall-clock time to this process's monotonic clock; both in milliseconds. */
function monotonicDeadline(context: EntryContext, wallClockTime: number): number {
  return context.clock.monotonic() + (wallClockTime - context.clock.now());
}

function turnAnswerOf(answer: Answer): TurnAnswer {
  if (answer.kind === 'turn') return answer;
  throw notRunRefusal(409, 'bad-request', 'this sequence was a service call');
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
  } else if (stream.hasStarted) {
    stream.finish(answer);
  } else {
    stream.replay(answer);
  }
}
