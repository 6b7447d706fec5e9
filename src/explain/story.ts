import type { LogLine } from './log-line';
import { orderByCause } from './order';

/** Time around a request in which its process's beliefs are shown with it; milliseconds. */
const AROUND_MILLISECONDS = 2000;

/** Events that say something of single requests, not of what a process believes. */
const REQUEST_EVENTS = new Set(['request', 'request-failed']);

/** What the logs say of one request or program. */
export interface Story {
  readonly kind: 'request' | 'program' | 'unknown';
  readonly lines: readonly LogLine[];
}

/**
 * Lines about a request, with what its process came to believe while it ran, or about a program,
 * in the order of cause.
 */
export function tellStory(lines: readonly LogLine[], id: string): Story {
  const own = lines.filter(({ request }) => request === id);
  if (own.length > 0) {
    const beliefs = own.flatMap((line) => foldRepeats(beliefsAround(lines, line)));
    return { kind: 'request', lines: orderByCause([...beliefs, ...own]) };
  }
  const ofProgram = lines.filter(({ program }) => program === id);
  const kind = ofProgram.length > 0 ? 'program' : 'unknown';
  return { kind, lines: orderByCause(ofProgram) };
}

/** Keeps the first line of each event, with the number of lines that it stands for. */
function foldRepeats(lines: readonly LogLine[]): readonly LogLine[] {
  const folded = new Map<string, LogLine>();
  for (const line of lines) {
    const first = folded.get(line.event);
    if (first === undefined) folded.set(line.event, line);
    else folded.set(line.event, { ...first, repeated: (first.repeated ?? 1) + 1 });
  }
  return [...folded.values()];
}

/** A line is written at the end of its request, on the clock of the same host as the beliefs. */
function beliefsAround(lines: readonly LogLine[], about: LogLine): readonly LogLine[] {
  const end = Date.parse(about.time);
  const start = end - (about.milliseconds ?? 0) - AROUND_MILLISECONDS;
  return lines.filter(({ host, event, time }) => {
    const at = Date.parse(time);
    return host === about.host && !REQUEST_EVENTS.has(event) && at >= start && at <= end;
  });
}
