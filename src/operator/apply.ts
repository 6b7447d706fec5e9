import {
  type Change,
  diffConfigurations,
  parseConfiguration,
  safeParseConfiguration,
  safeReadDirectory,
} from '../configuration';
import { delay, SystemClock } from '../core';
import type { ControlClient } from '../protocol';
import { OPERATOR_EXIT_CODES, type OperatorExitCode } from './exit-codes';
import { type OutputFormat, type Rows, writeOutput } from './output';
import { withControlClient } from './control-client';

export interface CommandOptions {
  readonly settings: string;
  readonly output: OutputFormat;
}

export interface ApplyOptions extends CommandOptions {
  readonly wait: boolean;
  /** Maximum time to wait for every live process, in seconds. */
  readonly timeout: number;
}

const POLL_MILLISECONDS = 100;

function readDirectory(directory: string) {
  const files = safeReadDirectory(directory);
  if (files.err) throw files.val;
  return { files: files.val, configuration: parseConfiguration(files.val) };
}

/** `martenbay validate DIRECTORY` */
export function validate(directory: string, output: OutputFormat): OperatorExitCode {
  const files = safeReadDirectory(directory);
  const result = files.andThen(safeParseConfiguration);
  if (result.err) {
    const { issues } = result.val;
    const rows = result.val.message.split('\n').map((line) => [line]);
    writeOutput(output, { valid: false, issues }, [rows]);
    return OPERATOR_EXIT_CODES.invalid;
  }
  const { number, digest, services, pools } = result.val;
  const targets = pools.flatMap((pool) => pool.targets).length;
  const text = `${directory}: valid; number ${number}, ${services.length} services, ${targets} targets`;
  writeOutput(output, { valid: true, number, digest }, [[[text]]]);
  return OPERATOR_EXIT_CODES.done;
}

/** `martenbay diff DIRECTORY` */
export async function diff(directory: string, options: CommandOptions): Promise<OperatorExitCode> {
  const { configuration } = readDirectory(directory);
  const current = await withControlClient(options.settings, (client) =>
    client.call((connection, signal) => connection.configuration.get.query(undefined, { signal })),
  );
  const active =
    current.configuration === undefined
      ? undefined
      : parseConfiguration(current.configuration.files);
  const changes = diffConfigurations(active, configuration);
  const summary = { inForce: active?.number ?? 0, number: configuration.number, changes };
  writeOutput(options.output, summary, [changeRows(changes)]);
  return changes.length === 0 ? OPERATOR_EXIT_CODES.done : OPERATOR_EXIT_CODES.different;
}

function changeRows(changes: readonly Change[]): Rows {
  if (changes.length === 0) return [['no difference']];
  const rows = changes.map(({ change, section, name }) => [change, section, name]);
  return [['CHANGE', 'SECTION', 'NAME'], ...rows];
}

/** `martenbay apply DIRECTORY` */
export async function apply(directory: string, options: ApplyOptions): Promise<OperatorExitCode> {
  const { files, configuration } = readDirectory(directory);
  const { number, digest } = configuration;
  return withControlClient(options.settings, async (client) => {
    const outcome = await client.call((connection, signal) =>
      connection.configuration.accept.mutate({ number, digest, files: [...files] }, { signal }),
    );
    if (outcome.outcome === 'not-accepted') {
      const active = [`in force: number ${outcome.number}, digest ${outcome.digest}`];
      writeOutput(options.output, outcome, [[[outcome.message], active]]);
      return OPERATOR_EXIT_CODES.refused;
    }
    const lagging = options.wait ? await waitUntilActive(client, number, options.timeout) : [];
    const accepted = `accepted: number ${number}, digest ${digest}`;
    const laggingRows =
      lagging.length === 0 ? [] : [[`not yet in force at: ${lagging.join(', ')}`]];
    writeOutput(options.output, { ...outcome, lagging }, [[[accepted], ...laggingRows]]);
    return lagging.length === 0 ? OPERATOR_EXIT_CODES.done : OPERATOR_EXIT_CODES.lagging;
  });
}

/** Waits until a configuration is active everywhere; returns the live processes that still lag. */
async function waitUntilActive(
  client: ControlClient,
  number: number,
  timeoutSeconds: number,
): Promise<readonly string[]> {
  const clock = new SystemClock();
  const deadline = clock.monotonic() + timeoutSeconds * 1000;
  for (;;) {
    const status = await client.call((connection, signal) =>
      connection.status.query(undefined, { signal }),
    );
    const lagging = status.nodes
      .filter((node) => node.state !== 'lost' && node.configurationNumber < number)
      .map((node) => node.name);
    const finished = status.nodesComplete && lagging.length === 0;
    if (finished || clock.monotonic() >= deadline) return lagging;
    await delay(clock, POLL_MILLISECONDS);
  }
}
