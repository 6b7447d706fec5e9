import { createHash } from 'node:crypto';

const DIGEST_BYTES = 16;

/** What all tries of one request have in common. Their ids and remaining times differ. */
export interface RequestIdentity {
  readonly team: string | undefined;
  readonly host: string | undefined;
  readonly method: string;
  /** Includes the query. */
  readonly path: string;
  readonly program: string | undefined;
  /** Id of the turn that this one continues. */
  readonly previousTurn: string | undefined;
  /** The body as the caller sent it. */
  readonly body: Buffer | null;
}

/** Digest of a request that is equal for all tries of a caller. */
export function fingerprintOf({ body, ...fields }: RequestIdentity): string {
  const { team, host, method, path, program, previousTurn } = fields;
  const head = JSON.stringify([team, host, method, path, program, previousTurn]);
  const hash = createHash('sha256').update(head).update('\n');
  if (body !== null) hash.update(body);
  return hash.digest('hex').slice(0, 2 * DIGEST_BYTES);
}
