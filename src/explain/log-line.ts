import * as z from 'zod';

const decisionSchema = z.looseObject({
  step: z.string().optional(),
  target: z.string().optional(),
  outcome: z.string().optional(),
  reason: z.string().optional(),
  milliseconds: z.number().optional(),
});

const lineSchema = z.looseObject({
  /** ISO 8601, on the host's clock. */
  time: z.string(),
  host: z.string(),
  event: z.string(),
  request: z.string().optional(),
  program: z.string().optional(),
  /** Team of the caller; program ids are unique only within a team. */
  team: z.string().optional(),
  /** Id of the request whose turn this one continues. */
  previous: z.string().optional(),
  kind: z.string().optional(),
  outcome: z.string().optional(),
  status: z.number().optional(),
  code: z.string().optional(),
  reason: z.string().optional(),
  milliseconds: z.number().optional(),
  /** Time from the arrival of the request to the first byte of the response. */
  beganMilliseconds: z.number().optional(),
  /** Time remaining until the program's deadline when the request arrived. */
  programMilliseconds: z.number().optional(),
  decisions: z.array(decisionSchema).optional(),
  /** Number of lines of this event that a trace shows as one line. */
  repeated: z.number().optional(),
});

export type LogLine = Readonly<z.output<typeof lineSchema>>;

/** Log lines of one or more processes, those of each process in the order written. */
export interface ParsedLog {
  readonly lines: readonly LogLine[];
  /** Number of lines that are not valid log lines. */
  readonly skipped: number;
}

/** Parses log lines; ignores a prefix before the first brace, such as a timestamp. */
export function readLog(text: string): ParsedLog {
  const lines: LogLine[] = [];
  let skipped = 0;
  for (const row of text.split('\n')) {
    if (row.trim() === '') continue;
    const line = parseLine(row);
    if (line === undefined) skipped += 1;
    else lines.push(line);
  }
  return { lines, skipped };
}

function parseLine(row: string): LogLine | undefined {
  const start = row.indexOf('{');
  if (start < 0) return undefined;
  try {
    const parsed = lineSchema.safeParse(JSON.parse(row.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // Truncated line, for example of a process that was killed.
    return undefined;
  }
}
