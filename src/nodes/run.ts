import {
  type LifeCycle,
  MartenbayError,
  StopSignals,
  SystemClock,
  SystemRandom,
  formatIssue,
  messageOf,
} from '../core';
import { loadSettings } from '../settings/load';
import { type NodeSettings, nodeSettingsSchema } from './node-settings';
import type { NodeContext, NodeContextOptions } from './node-context';
import { ReloadableSettings } from './reloadable-settings';

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

/** Runs one process with the settings in `file` until SIGTERM or SIGINT. */
export async function runNode(file: string, create: CreateNode): Promise<void> {
  const settings = loadSettingsOrExit(file);
  const clock = new SystemClock();
  const reloadableSettings = new ReloadableSettings({ file, settings, clock });
  const node: RunnableNode = await create({
    settings,
    currentSettings: () => reloadableSettings.current,
    clock,
    random: new SystemRandom(),
    onFailure: () => {
      clock.after(FAILURE_EXIT_DELAY_MILLISECONDS, () => {
        node.context.logOutput.stop();
        process.exit(EXIT_CODES.failed);
      });
    },
  });
  const { logger } = node.context;
  reloadableSettings.setLogger(logger);
  reloadableSettings.onReload(({ node: { 'log-level': level } }) => {
    logger.level = level;
  });
  node.lifeCycle.add('settings', reloadableSettings);
  process.on('SIGHUP', () => {
    reloadableSettings.reload('SIGHUP');
  });
  const stopSignals = new StopSignals((signal) => void stop(node, signal));
  try {
    await node.lifeCycle.start();
  } catch (error) {
    logger.fatal({ event: 'start-failed', error: messageOf(error) });
    node.context.logOutput.stop();
    process.exit(EXIT_CODES.failed);
  }
  const { 'first-start': firstStart, seeds } = settings.node;
  logger.info({ event: 'started', firstStart, seeds });
  stopSignals.enable();
}

async function stop(node: RunnableNode, signal: string): Promise<void> {
  const { logger } = node.context;
  logger.info({ event: 'stopping', signal });
  try {
    await node.drain?.();
    logger.info({ event: 'stopped' });
    await node.lifeCycle.stop();
    process.exit(EXIT_CODES.stopped);
  } catch (error) {
    logger.fatal({ event: 'stop-failed', error: messageOf(error) });
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
