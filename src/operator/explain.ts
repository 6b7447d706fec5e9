import { readFileSync } from 'node:fs';
import { type LogLine, readLog, tellStory } from '../explain';
import { MartenbayError, messageOf } from '../core';
import { OPERATOR_EXIT, type OperatorExit } from './exit';
import { type OutputFormat, writeOutput } from './output';

/** Logs can't be read. */
export class ExplainError extends MartenbayError {}

/** Fields that every line has, or that have a column of their own. */
const COLUMNS = new Set(['level', 'time', 'host', 'role', 'event', 'request', 'program']);

/** Prints what the logs in `files` say of a request or program. */
export function explain(id: string, files: readonly string[], output: OutputFormat): OperatorExit {
  const lines = files.flatMap((file) => readLog(readFile(file)).lines);
  const story = tellStory(lines, id);
  if (story.kind === 'unknown') {
    process.stderr.write(
      `no line of ${files.join(', ')} names ${id}; give the logs of all hosts\n`,
    );
    return OPERATOR_EXIT.failed;
  }
  const rows = story.lines.map((line) => [line.time, line.host, titleOf(line), detailsOf(line)]);
  writeOutput(output, story, [[['time', 'host', 'what', 'details'], ...rows]]);
  return OPERATOR_EXIT.done;
}

function titleOf({ event, request }: LogLine): string {
  return request === undefined ? event : `${event} ${request}`;
}

function detailsOf(line: LogLine): string {
  return Object.entries(line)
    .filter(([name]) => !COLUMNS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' ');
}

function readFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    const message = `can't be read; name a file of log lines: ${messageOf(error)}`;
    throw new ExplainError([{ code: 'unreadable', path: [file], message }]);
  }
}
