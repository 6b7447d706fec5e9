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

/** A turn's line: id, program, the turn before it, numbers, target, input and output. */
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

/** A budget's line: program, time of the last change, reservations. */
type BudgetLine = readonly [
  program: string,
  changedAt: number,
  reservations: readonly (readonly [turn: string, tokens: number, settled: boolean])[],
];

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

/**
 * Reads a line that {@link encodeRow} wrote: its kind and what follows. The file's checksums and
 * format vouch for its form; a schema would take a third of a store's time to start.
 */
export function decodeRow(kind: unknown, fields: readonly unknown[]): TurnRow {
  return kind === 'turn'
    ? decodeTurn(fields as unknown as TurnLine)
    : decodeBudget(fields as unknown as BudgetLine);
}

function decodeBudget([program, changedAt, entries]: BudgetLine): TurnRow {
  const reservations = entries.map(([turn, tokens, settled]) => ({ turn, tokens, settled }));
  return { kind: 'budget', program, changedAt, reservations };
}

function decodeTurn(fields: TurnLine): TurnRow {
  const [id, program, previous, tokens, contextTokens, endedAt, retentionSeconds, ...rest] = fields;
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
