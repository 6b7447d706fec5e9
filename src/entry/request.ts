import type { IncomingMessage } from 'node:http';
import * as z from 'zod';
import type { Configuration, Team } from '../configuration';
import { type Clock, equalSecrets } from '../core';
import { digestKey } from '../teams';
import { HEADERS } from '../protocol';
import { notRun } from './refusal';

const HIGHEST_DEADLINE_MILLISECONDS = 86_400_000;

const headersSchema = z.object({
  [HEADERS.program]: z
    .string()
    .regex(/^[A-Za-z0-9._-]{1,100}$/, 'letters, digits, ".", "_" and "-", 100 at most')
    .optional(),
  [HEADERS.sequence]: z.coerce.number().int().positive().optional(),
  [HEADERS.deadline]: z.coerce
    .number()
    .int()
    .positive()
    .max(HIGHEST_DEADLINE_MILLISECONDS)
    .optional(),
  [HEADERS.history]: z.literal('append').optional(),
  'idempotency-key': z.string().min(1).max(255).optional(),
});

/** What a caller's headers say of a call. */
export interface CallHeaders {
  readonly program: string | undefined;
  readonly sequence: number | undefined;
  /** Monotonic time in milliseconds until which the caller waits. */
  readonly deadline: number;
  readonly appendsHistory: boolean;
  readonly idempotencyKey: string | undefined;
}

/** Reads the headers of a call; malformed ones are refused. */
export function parseCallHeaders(
  request: IncomingMessage,
  clock: Clock,
  defaultDeadlineMilliseconds: number,
): CallHeaders {
  const parsed = headersSchema.safeParse(request.headers);
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
    throw notRun(400, 'bad-request', `header ${faults.join('; ')}`);
  }
  const headers = parsed.data;
  const wait = headers[HEADERS.deadline] ?? defaultDeadlineMilliseconds;
  return {
    program: headers[HEADERS.program],
    sequence: headers[HEADERS.sequence],
    deadline: clock.monotonic() + wait,
    appendsHistory: headers[HEADERS.history] === 'append',
    idempotencyKey: headers['idempotency-key'],
  };
}

/** Finds the team whose key the caller shows as a bearer token. */
export function authenticate(request: IncomingMessage, configuration: Configuration): Team {
  const match = /^Bearer (\S{1,500})$/i.exec(request.headers.authorization ?? '');
  const digest = digestKey(match?.[1] ?? '');
  const team = configuration.teams.find((entry) =>
    entry['key-digests'].some((known) => equalSecrets(known, digest)),
  );
  if (match !== null && team !== undefined) return team;
  const message = 'show a key of a configured team as "Authorization: Bearer KEY"';
  throw notRun(401, 'unauthorized', message);
}

/** Reads a whole body, refusing one that is larger than the limit. */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
  const announced = Number(request.headers['content-length'] ?? 0);
  const chunks: Buffer[] = [];
  let size = 0;
  if (announced <= limitBytes) {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > limitBytes) break;
      chunks.push(chunk);
    }
  }
  if (announced > limitBytes || size > limitBytes) {
    throw notRun(413, 'body-too-large', `the body is larger than ${limitBytes} bytes`);
  }
  return Buffer.concat(chunks);
}

/** Reads a JSON body against a schema. */
export function parseJson<T extends z.ZodType>(schema: T, body: Buffer): z.output<T> {
  let value: unknown;
  try {
    value = body.length === 0 ? {} : JSON.parse(body.toString());
  } catch {
    throw notRun(400, 'bad-request', 'the body is not JSON');
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const faults = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  throw notRun(400, 'bad-request', faults.join('; '));
}
