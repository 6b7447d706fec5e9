import * as z from 'zod';

/** One whole turn: what the caller sent and what the engine answered. */
export interface TurnRecord {
  readonly id: string;
  readonly program: string;
  /** The turn that this one continues; nothing at the start of a chain. */
  readonly previous: string | undefined;
  readonly input: Buffer;
  /** The data of each event, each with a line feed after it. */
  readonly output: Buffer;
  /** Tokens that were generated. */
  readonly tokens: number;
  /** Tokens that its engine holds of it and its chain: the whole prompt and what was generated. */
  readonly contextTokens: number;
  /** Wall time of its end, milliseconds since the Unix epoch. */
  readonly endedAt: number;
  /** Seconds for which it and its chain are to be kept. */
  readonly retentionSeconds: number;
  /** Identity of the engine that holds its cache. */
  readonly target: string;
}

/** What a turn takes of its program's budget. */
export interface Reservation {
  readonly turn: string;
  /** Tokens: the most it may generate until it is settled, then what it did. */
  readonly tokens: number;
  readonly settled: boolean;
}

/** One thing that a store keeps, in the order in which it was taken. */
export type TurnRow =
  | { readonly kind: 'turn'; readonly record: TurnRecord }
  | {
      readonly kind: 'budget';
      readonly program: string;
      readonly reservations: readonly Reservation[];
      /** Wall time of the last change, milliseconds since the Unix epoch. */
      readonly changedAt: number;
    };

const turnSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.string(),
  z.string(),
  z.string(),
]);

const budgetSchema = z.tuple([
  z.string(),
  z.number(),
  z.array(z.tuple([z.string(), z.number(), z.boolean()])),
]);

/** Renders a row as one line; bytes become one character each. */
export function encodeRow(row: TurnRow): string {
  if (row.kind === 'budget') {
    const entries = row.reservations.map(({ turn, tokens, settled }) => [turn, tokens, settled]);
    return JSON.stringify(['budget', row.program, row.changedAt, entries]);
  }
  const { record } = row;
  return JSON.stringify([
    'turn',
    record.id,
    record.program,
    record.previous ?? '',
    record.tokens,
    record.contextTokens,
    record.endedAt,
    record.retentionSeconds,
    record.target,
    record.input.toString('latin1'),
    record.output.toString('latin1'),
  ]);
}

/** Reads a line that {@link encodeRow} wrote: its kind and what follows. */
export function decodeRow(kind: unknown, fields: readonly unknown[]): TurnRow {
  return kind === 'turn' ? decodeTurn(fields) : decodeBudget(fields);
}

function decodeBudget(fields: readonly unknown[]): TurnRow {
  const [program, changedAt, entries] = budgetSchema.parse(fields);
  const reservations = entries.map(([turn, tokens, settled]) => ({ turn, tokens, settled }));
  return { kind: 'budget', program, changedAt, reservations };
}

function decodeTurn(fields: readonly unknown[]): TurnRow {
  const [id, program, previous, tokens, contextTokens, endedAt, retentionSeconds, ...rest] =
    turnSchema.parse(fields);
  const [target, input, output] = rest;
  const record = {
    id,
    program,
    previous: previous === '' ? undefined : previous,
    input: Buffer.from(input, 'latin1'),
    output: Buffer.from(output, 'latin1'),
    tokens,
    contextTokens,
    endedAt,
    retentionSeconds,
    target,
  };
  return { kind: 'turn', record };
}
