import type { LogLine } from './log-line';
import { sortCausally } from './causal-order';

/** Events of the process from this long before the arrival of a request are part of its trace. */
const CONTEXT_MILLISECONDS = 2000;

/** Events about single requests; all others are about the state of the process. */
const REQUEST_EVENTS = new Set(['request', 'request-failed']);

/** Log lines about one request or program, in causal order. */
export interface LogTrace {
  readonly kind: 'request' | 'program' | 'unknown';
  readonly lines: readonly LogLine[];
}

/**
 * Collects the lines about a request, together with the events of its process around that time, or
 * the lines about a program. The kind is `unknown` if no line has the id.
 */
export function buildTrace(lines: readonly LogLine[], id: string): LogTrace {
  const requestLines = lines.filter(({ request }) => request === id);
  if (requestLines.length > 0) {
    const processEvents = requestLines.flatMap((line) =>
      collapseRepeats(processEventsAround(lines, line)),
    );
    return { kind: 'request', lines: sortCausally([...processEvents, ...requestLines]) };
  }
  const programLines = lines.filter(({ program }) => program === id);
  const kind = programLines.length > 0 ? 'program' : 'unknown';
  return { kind, lines: sortCausally(programLines) };
}

/** Keeps the first line of each event and counts the others in its `repeated`. */
function collapseRepeats(lines: readonly LogLine[]): readonly LogLine[] {
  const firstLines = new Map<string, LogLine>();
  for (const line of lines) {
    const first = firstLines.get(line.event);
    if (first === undefined) firstLines.set(line.event, line);
    else firstLines.set(line.event, { ...first, repeated: (first.repeated ?? 1) + 1 });
  }
  return [...firstLines.values()];
}

/** Both times are on the same host's clock; the line of a request is written at its end. */
function processEventsAround(lines: readonly LogLine[], about: LogLine): readonly LogLine[] {
  const end = Date.parse(about.time);
  const start = end - (about.milliseconds ?? 0) - CONTEXT_MILLISECONDS;
  return lines.filter(({ host, event, time, request }) => {
    const at = Date.parse(time);
    if (host !== about.host || request === about.request) return false;
    return !REQUEST_EVENTS.has(event) && at >= start && at <= end;
  });
}
