import { readFileSync } from 'node:fs';
import { type LogLine, buildTrace, readLog } from '../explain';
import { MartenbayError, messageOf } from '../core';
import { OPERATOR_EXIT_CODES, type OperatorExitCode } from './exit-codes';
import { type OutputFormat, writeOutput } from './output';

/** A log file can't be read. */
export class ExplainError extends MartenbayError {}

/** Fields that are not repeated in the details column. */
const OMITTED_FIELDS = new Set(['level', 'time', 'host', 'role', 'event', 'request', 'program']);

/** Prints the lines of the log files about a request or program. */
export function explain(
  id: string,
  files: readonly string[],
  output: OutputFormat,
): OperatorExitCode {
  const lines = files.flatMap((file) => readLog(readFile(file)).lines);
  const trace = buildTrace(lines, id);
  if (trace.kind === 'unknown') {
    process.stderr.write(
      `no line of ${files.join(', ')} has the id ${id}; pass the log files of all hosts\n`,
    );
    return OPERATOR_EXIT_CODES.failed;
  }
  const rows = trace.lines.map((line) => [line.time, line.host, titleOf(line), detailsOf(line)]);
  writeOutput(output, trace, [[['time', 'host', 'what', 'details'], ...rows]]);
  return OPERATOR_EXIT_CODES.done;
}

function titleOf({ event, request }: LogLine): string {
  return request === undefined ? event : `${event} ${request}`;
}

function detailsOf(line: LogLine): string {
  return Object.entries(line)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' ');
}

function readFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    const message = `can't be read; expected a log file: ${messageOf(error)}`;
    throw new ExplainError([{ code: 'unreadable', path: [file], message }]);
  }
}
