import {
  type LifeCycle,
  MartenbayError,
  type ProcessSignals,
  type StopSignal,
  SystemClock,
  SystemRandom,
  formatIssue,
  messageOf,
} from '../core';
import { loadSettings } from '../settings/load';
import { type NodeSettings, nodeSettingsSchema } from './node-settings';
import { FORMER_LIFETIME_ENDS, LifetimeRecord } from './lifetime-record';
import type { NodeContext, NodeContextOptions } from './node-context';
import { ReloadableSettings, readModificationTime } from './reloadable-settings';

/** Delay of the exit after an unrecoverable failure; requests in flight get error responses. */
const FAILURE_EXIT_DELAY_MILLISECONDS = 300;

const EXIT_CODES = { stopped: 0, failed: 1, invalid: 2 } as const;

export interface RunnableNode {
  readonly context: NodeContext;
  readonly lifeCycle: LifeCycle;
  /** Finishes the work in flight before the life cycle stops. */
  drain?(): Promise<void>;
}

export type CreateNode = (
  options: Omit<NodeContextOptions, 'kind'>,
) => RunnableNode | Promise<RunnableNode>;

export interface RunOptions {
  /** Path of the settings. */
  readonly file: string;
  readonly signals: ProcessSignals;
  readonly create: CreateNode;
}

/** Runs one process until SIGTERM or SIGINT; one that arrives earlier is obeyed after the start. */
export async function runNode({ file, signals, create }: RunOptions): Promise<void> {
  const modifiedAt = readModificationTime(file);
  const settings = loadSettingsOrExit(file);
  const clock = new SystemClock();
  const reloadableSettings = new ReloadableSettings({ file, modifiedAt, settings, clock });
  const node: RunnableNode = await create({
    settings,
    currentSettings: () => reloadableSettings.current,
    clock,
    random: new SystemRandom(),
    onFailure: (error) => {
      clock.after(FAILURE_EXIT_DELAY_MILLISECONDS, () => {
        fail(error);
      });
    },
  });
  const { logger, metrics } = node.context;
  const lifetime = new LifetimeRecord({ dataFolder: settings.node['data-folder'], logger });
  for (const end of FORMER_LIFETIME_ENDS) {
    metrics.gauge(`former_lifetime{end="${end}"}`, () => Number(lifetime.former.end === end));
  }
  lifetime.recordRunning();
  const fail = (error: unknown) => {
    const stack = error instanceof Error ? error.stack : undefined;
    logger.fatal({ event: 'process-failed', error: messageOf(error), stack });
    lifetime.recordFailed(messageOf(error));
    node.context.logOutput.stop();
    process.exit(EXIT_CODES.failed);
  };
  process.on('uncaughtException', fail);
  process.on('unhandledRejection', fail);
  reloadableSettings.setLogger(logger);
  reloadableSettings.onReload(({ node: { 'log-level': level } }) => {
    logger.level = level;
  });
  node.lifeCycle.add('settings', reloadableSettings);
  signals.onReload(() => {
    reloadableSettings.reload('SIGHUP');
  });
  try {
    await node.lifeCycle.start();
  } catch (error) {
    logger.fatal({ event: 'start-failed', error: messageOf(error) });
    fail(error);
  }
  lifetime.recordRunning();
  const { 'first-start': firstStart, seeds } = settings.node;
  logger.info({ event: 'started', firstStart, seeds, formerLifetime: lifetime.former });
  signals.onStop((signal) => void stop(node, signal, lifetime));
}

async function stop(
  node: RunnableNode,
  signal: StopSignal,
  lifetime: LifetimeRecord,
): Promise<void> {
  const { logger } = node.context;
  logger.info({ event: 'stopping', signal });
  try {
    await node.drain?.();
    logger.info({ event: 'stopped' });
    await node.lifeCycle.stop();
    lifetime.recordStopped();
    process.exit(EXIT_CODES.stopped);
  } catch (error) {
    logger.fatal({ event: 'stop-failed', error: messageOf(error) });
    lifetime.recordFailed(messageOf(error));
    node.context.logOutput.stop();
    process.exit(EXIT_CODES.failed);
  }
}

function loadSettingsOrExit(file: string): NodeSettings {
  try {
    return loadSettings(nodeSettingsSchema, file);
  } catch (error) {
    if (!(error instanceof MartenbayError)) throw error;
    process.stderr.write(`${error.issues.map(formatIssue).join('\n')}\n`);
    return process.exit(EXIT_CODES.invalid);
  }
}
