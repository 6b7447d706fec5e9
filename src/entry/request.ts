import type { IncomingMessage } from 'node:http';
import * as z from 'zod';
import type { Configuration, Team } from '../configuration';
import { type Clock, equalSecrets } from '../core';
import { digestKey } from '../teams';
import { HEADERS } from '../protocol';
import { notRunRefusal } from './refusal';

const MAX_DEADLINE_MILLISECONDS = 86_400_000;

const headersSchema = z.object({
  [HEADERS.program]: z
    .string()
    .regex(/^[A-Za-z0-9._-]{1,100}$/, 'letters, digits, ".", "_" and "-", 100 at most')
    .optional(),
  [HEADERS.sequence]: z.coerce.number().int().positive().optional(),
  [HEADERS.deadline]: z.coerce.number().int().positive().max(MAX_DEADLINE_MILLISECONDS).optional(),
  [HEADERS.history]: z.literal('append').optional(),
  'idempotency-key': z.string().min(1).max(255).optional(),
});

/** Parsed request headers of a call. */
export interface CallHeaders {
  readonly program: string | undefined;
  readonly sequence: number | undefined;
  /** Time until which the caller waits, in milliseconds of the monotonic clock. */
  readonly deadline: number;
  readonly appendsHistory: boolean;
  readonly idempotencyKey: string | undefined;
}

/** Parses the headers of a call; throws a refusal with status 400 when one is malformed. */
export function parseCallHeaders(
  request: IncomingMessage,
  clock: Clock,
  defaultDeadlineMilliseconds: number,
): CallHeaders {
  const parsed = headersSchema.safeParse(request.headers);
  if (!parsed.success) {
    const issues = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
    throw notRunRefusal(400, 'bad-request', `header ${issues.join('; ')}`);
  }
  const headers = parsed.data;
  const waitMilliseconds = headers[HEADERS.deadline] ?? defaultDeadlineMilliseconds;
  return {
    program: headers[HEADERS.program],
    sequence: headers[HEADERS.sequence],
    deadline: clock.monotonic() + waitMilliseconds,
    appendsHistory: headers[HEADERS.history] === 'append',
    idempotencyKey: headers['idempotency-key'],
  };
}

/** Finds the team by the bearer token; throws a refusal with status 401 when none matches. */
export function authenticate(request: IncomingMessage, configuration: Configuration): Team {
  const match = /^Bearer (\S{1,500})$/i.exec(request.headers.authorization ?? '');
  const digest = digestKey(match?.[1] ?? '');
  const team = configuration.teams.find((entry) =>
    entry['key-digests'].some((keyDigest) => equalSecrets(keyDigest, digest)),
  );
  if (match !== null && team !== undefined) return team;
  const message = 'show a key of a configured team as "Authorization: Bearer KEY"';
  throw notRunRefusal(401, 'unauthorized', message);
}

/** Reads the request body; throws a refusal with status 413 above `limitBytes`. */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  if (declaredBytes <= limitBytes) {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      receivedBytes += chunk.length;
      if (receivedBytes > limitBytes) break;
      chunks.push(chunk);
    }
  }
  if (declaredBytes > limitBytes || receivedBytes > limitBytes) {
    throw notRunRefusal(413, 'body-too-large', `the body is larger than ${limitBytes} bytes`);
  }
  return Buffer.concat(chunks);
}

/** Parses a JSON body, an empty one as `{}`; throws a refusal with status 400 when invalid. */
export function parseJson<T extends z.ZodType>(schema: T, body: Buffer): z.output<T> {
  let value: unknown;
  try {
    value = body.length === 0 ? {} : JSON.parse(body.toString());
  } catch {
    throw notRunRefusal(400, 'bad-request', 'the body is not JSON');
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const issues = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  throw notRunRefusal(400, 'bad-request', issues.join('; '));
}
