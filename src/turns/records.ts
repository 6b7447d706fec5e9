/** A completed turn: the caller's input and the engine's output. */
export interface TurnRecord {
  readonly id: string;
  readonly program: string;
  /** The turn that this one continues; `undefined` at the start of a chain. */
  readonly previous: string | undefined;
  readonly input: Buffer;
  /** The data of each streamed event, each terminated by a line feed. */
  readonly output: Buffer;
  /** Generated tokens. */
  readonly tokens: number;
  /** Tokens of the whole prompt, including the chain, and of the output. */
  readonly contextTokens: number;
  /** Wall-clock time, milliseconds since the Unix epoch. */
  readonly endedAt: number;
  /** Seconds after `endedAt` for which the turn and its chain are kept. */
  readonly retentionSeconds: number;
  /** Target whose engine has the turn in its prefix cache. */
  readonly target: string;
}

/** A turn and its ancestors, oldest first. */
export type ChainLookup =
  { readonly kind: 'found'; readonly records: readonly TurnRecord[] } | { readonly kind: 'absent' };

/** Estimated size of a turn besides its input and output; bytes. */
const TURN_OVERHEAD_BYTES = 200;

/** Estimated size of a turn in a message; bytes. */
export function estimateTurnBytes({ input, output }: TurnRecord): number {
  return TURN_OVERHEAD_BYTES + input.length + output.length;
}

/** A turn's share of its program's budget. */
export interface Reservation {
  readonly turn: string;
  /** The maximum that the turn may generate; once settled, what it generated. */
  readonly tokens: number;
  readonly settled: boolean;
  /**
   * Set if the reservation was written to all stores instead of the program's preferred replicas
   * only; a turn that sees it reads a second time. Kept once settled, since a concurrent turn may
   * have passed another replica before. Absent on stores of a former build.
   */
  readonly spread?: true;
}

/** Merges two copies of a reservation, in either order: a settled one is final, a mark is kept. */
export function mergeReservations(existing: Reservation, added: Reservation): Reservation {
  const latest = added.settled && !existing.settled ? added : existing;
  const isSpread = existing.spread === true || added.spread === true;
  return isSpread && latest.spread !== true ? { ...latest, spread: true } : latest;
}

export type TurnRow =
  | { readonly kind: 'turn'; readonly record: TurnRecord }
  | {
      readonly kind: 'budget';
      readonly program: string;
      readonly reservations: readonly Reservation[];
      /** Wall-clock time, milliseconds since the Unix epoch. */
      readonly changedAt: number;
    };

/** Fields of a turn's line; `previous` is empty at the start of a chain. */
type TurnLine = readonly [
  id: string,
  program: string,
  previous: string,
  tokens: number,
  contextTokens: number,
  endedAt: number,
  retentionSeconds: number,
  target: string,
  input: string,
  output: string,
];

type BudgetLine = readonly [
  program: string,
  changedAt: number,
  reservations: readonly ReservationEntry[],
];

type ReservationEntry = readonly [turn: string, tokens: number, settled: boolean, spread?: true];

/** Turns of this size or more are encoded in Base64; JSON may take six characters for a byte. */
const BASE64_TURN_BYTES = 64 * 1024;

/** Bytes of a line for each byte of a turn, above which the turn is encoded in Base64. */
const LATIN1_LINE_FACTOR = 1.25;

const BASE64_TURN_KIND = 'turn-base64';

/**
 * Encodes a row as one line of JSON; binary fields are Latin-1 text, one character per byte, or Base64
 * in turns that are large or would take many escape sequences.
 */
export function encodeRow(row: TurnRow): string {
  if (row.kind === 'budget') {
    const entries = row.reservations.map(encodeReservation);
    return JSON.stringify(['budget', row.program, row.changedAt, entries]);
  }
  const { record } = row;
  const bytes = estimateTurnBytes(record);
  if (bytes >= BASE64_TURN_BYTES) return encodeTurn(record, BASE64_TURN_KIND, 'base64');
  const line = encodeTurn(record, 'turn', 'latin1');
  const isLonger = Buffer.byteLength(line) > bytes * LATIN1_LINE_FACTOR;
  return isLonger ? encodeTurn(record, BASE64_TURN_KIND, 'base64') : line;
}

function encodeTurn(record: TurnRecord, kind: string, encoding: 'latin1' | 'base64'): string {
  return JSON.stringify([
    kind,
    record.id,
    record.program,
    record.previous ?? '',
    record.tokens,
    record.contextTokens,
    record.endedAt,
    record.retentionSeconds,
    record.target,
    record.input.toString(encoding),
    record.output.toString(encoding),
  ]);
}

/**
 * Decodes a line of {@link encodeRow}, given its kind and remaining fields. Not validated against a
 * schema, which would take a third of a store's time to start: the file's checksum guards its
 * content.
 */
export function decodeRow(kind: unknown, fields: readonly unknown[]): TurnRow {
  if (kind === 'turn') return decodeTurn(fields as unknown as TurnLine, 'latin1');
  if (kind === BASE64_TURN_KIND) return decodeTurn(fields as unknown as TurnLine, 'base64');
  return decodeBudget(fields as unknown as BudgetLine);
}

function decodeBudget([program, changedAt, entries]: BudgetLine): TurnRow {
  const reservations = entries.map(decodeReservation);
  return { kind: 'budget', program, changedAt, reservations };
}

function encodeReservation({ turn, tokens, settled, spread }: Reservation): ReservationEntry {
  return spread === true ? [turn, tokens, settled, spread] : [turn, tokens, settled];
}

function decodeReservation([turn, tokens, settled, spread]: ReservationEntry): Reservation {
  return spread === true ? { turn, tokens, settled, spread } : { turn, tokens, settled };
}

function decodeTurn(fields: TurnLine, encoding: 'latin1' | 'base64'): TurnRow {
  const [id, program, previous, tokens, contextTokens, endedAt, retentionSeconds, ...rest] = fields;
  const [target, input, output] = rest;
  const record = {
    id,
    program,
    previous: previous === '' ? undefined : previous,
    input: Buffer.from(input, encoding),
    output: Buffer.from(output, encoding),
    tokens,
    contextTokens,
    endedAt,
    retentionSeconds,
    target,
  };
  return { kind: 'turn', record };
}
