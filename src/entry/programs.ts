import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import type { Team } from '../configuration';
import { type ProgramView, groupOfProgram } from '../state';
import { type EntryContext, callControl, receiveBody, requireConfiguration } from './context';
import { requireGroup } from './program-ids';
import { Refusal, notRunRefusal } from './refusal';
import { authenticate, parseCallHeaders, parseJson } from './request';
import { statusOf } from './step';

const createRequestSchema = z.strictObject({
  kind: z.string().min(1).optional(),
  /** Id of the parent program; the new one is its child and shares its budget. */
  parent: z.string().min(1).optional(),
});

const PATH_PREFIX = '/v1/programs';

/** Handles `POST /v1/programs`, `GET` and `DELETE /v1/programs/{id}`. */
export async function handlePrograms(
  context: EntryContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const team = authenticate(request, requireConfiguration(context));
  const id = decodeId((request.url ?? '').slice(PATH_PREFIX.length + 1));
  if (request.method === 'POST' && id === '') {
    sendProgram(response, 201, await createProgram(context, team, request));
  } else if (request.method === 'GET' && id !== '') {
    sendProgram(response, 200, await getProgram(context, team, id));
  } else if (request.method === 'DELETE' && id !== '') {
    sendProgram(response, 200, await endProgram(context, team, id));
  } else {
    throw notRunRefusal(
      404,
      'not-found',
      `no such path; programs are at ${PATH_PREFIX} and ${PATH_PREFIX}/{id}`,
    );
  }
}

function decodeId(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    throw notRunRefusal(400, 'bad-request', 'the program id is not properly encoded');
  }
}

async function createProgram(
  context: EntryContext,
  team: Team,
  request: IncomingMessage,
): Promise<ProgramView> {
  const headers = parseCallHeaders(
    request,
    context.clock,
    context.settings['default-deadline-milliseconds'],
  );
  const body = await receiveBody(context, request);
  const { kind, parent } = parseJson(createRequestSchema, body);
  const input = {
    id: chooseProgramId(context, team, parent, headers.idempotencyKey),
    team: team.name,
    configurationNumber: context.configuration.number,
    ...(kind === undefined ? {} : { kind }),
    ...(parent === undefined ? {} : { parent }),
  };
  const outcome = await callControl(context, 'unknown', () =>
    context.control.call(
      (connection, signal) => connection.programs.create.mutate(input, { signal }),
      { group: requireGroup(input.id) },
    ),
  );
  if (outcome.outcome === 'created') return outcome.program;
  throw refusalOf(outcome);
}

function chooseProgramId(
  context: EntryContext,
  team: Team,
  parent: string | undefined,
  key: string | undefined,
): string {
  const { programIds } = context;
  const keyParts = [team.name, 'program', key ?? ''];
  if (parent === undefined) {
    return key === undefined
      ? programIds.create(requireConfiguration(context))
      : programIds.deriveFromKey(keyParts);
  }
  requireParentGroup(parent);
  return key === undefined
    ? programIds.createChild(parent)
    : programIds.deriveChildFromKey(parent, keyParts);
}

function requireParentGroup(parent: string): string {
  const group = groupOfProgram(parent);
  if (group !== undefined) return group;
  throw notRunRefusal(404, 'unknown-parent', `no program "${parent}"`);
}

async function getProgram(context: EntryContext, team: Team, id: string): Promise<ProgramView> {
  const group = requireGroup(id);
  const outcome = await callControl(context, 'not-run', () =>
    context.control.call(
      (connection, signal) =>
        connection.programs.get.query({ program: id, team: team.name }, { signal }),
      { group },
    ),
  );
  if (outcome.outcome === 'found') return outcome.program;
  throw refusalOf(outcome);
}

async function endProgram(context: EntryContext, team: Team, id: string): Promise<ProgramView> {
  const end = { program: id, reason: 'deleted' } as const;
  const group = requireGroup(id);
  const outcome = await callControl(context, 'unknown', () =>
    context.control.call(
      (connection, signal) => connection.programs.end.mutate({ end, team: team.name }, { signal }),
      { group },
    ),
  );
  if (outcome.outcome === 'ended') return outcome.program;
  throw refusalOf(outcome);
}

function refusalOf(refused: { readonly code: string; readonly message: string }): Refusal {
  const { code, message } = refused;
  return new Refusal({ status: statusOf(code), code, message, outcome: 'not-run' });
}

function sendProgram(response: ServerResponse, status: number, program: ProgramView): void {
  const { id, parent, kind, state, endReason, nextSequence, messageCount, spending } = program;
  response.writeHead(status, { 'content-type': 'application/json' }).end(
    JSON.stringify({
      id,
      object: 'program',
      parent: parent ?? null,
      kind,
      state,
      end_reason: endReason ?? null,
      next_sequence: nextSequence,
      message_count: messageCount,
      budget: {
        token_limit: spending.tokenLimit,
        tokens_spent: spending.spentTokens,
        tokens_reserved: spending.reservedTokens,
        call_limit: spending.callLimit,
        calls_spent: spending.spentCalls,
        calls_reserved: spending.reservedCalls,
      },
    }),
  );
}
