import * as z from 'zod';

const decisionSchema = z.looseObject({
  step: z.string().optional(),
  target: z.string().optional(),
  outcome: z.string().optional(),
  reason: z.string().optional(),
  milliseconds: z.number().optional(),
});

const lineSchema = z.looseObject({
  /** The host's own time of day. */
  time: z.string(),
  host: z.string(),
  event: z.string(),
  request: z.string().optional(),
  program: z.string().optional(),
  /** Team of the caller; programs of two teams may have one name. */
  team: z.string().optional(),
  /** Request whose turn this one continues. */
  previous: z.string().optional(),
  kind: z.string().optional(),
  outcome: z.string().optional(),
  status: z.number().optional(),
  code: z.string().optional(),
  reason: z.string().optional(),
  milliseconds: z.number().optional(),
  /** Time from the arrival to the first byte of the answer. */
  beganMilliseconds: z.number().optional(),
  /** Time that the whole program had left when the request arrived. */
  programMilliseconds: z.number().optional(),
  decisions: z.array(decisionSchema).optional(),
  /** Lines of the same event that this one stands for, in a story. */
  repeated: z.number().optional(),
});

/** One line that a process wrote. */
export type LogLine = Readonly<z.output<typeof lineSchema>>;

/** Lines of one or more processes, each process's in the order in which it wrote them. */
export interface LogReading {
  readonly lines: readonly LogLine[];
  /** Lines that are no log lines of a process. */
  readonly skipped: number;
}

/** Reads log lines; what stands before the brace that opens a line, such as a time, is ignored. */
export function readLog(text: string): LogReading {
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
    // A line that was cut off when its process ended is no JSON; the caller counts it.
    return undefined;
  }
}
