import {
  type LifeCycle,
  MartenbayError,
  SystemClock,
  SystemRandom,
  formatIssue,
  messageOf,
} from '../core';
import { loadSettings } from '../settings/load';
import { type NodeSettings, nodeSettingsSchema } from './settings';
import type { NodeParts, NodePartsOptions } from './node';
import { SettingsHolder } from './settings-holder';

/** Time in which a process that can't go on still answers that it can't; milliseconds. */
const FAILURE_MILLISECONDS = 300;

const EXIT_CODES = { stopped: 0, failed: 1, invalid: 2 } as const;

/** A process that can be run until it is told to stop. */
export interface RunnableNode {
  readonly parts: NodeParts;
  readonly lifeCycle: LifeCycle;
  /** What is to be finished before the stop. */
  leave?(): Promise<void>;
}

export type CreateNode = (
  options: Omit<NodePartsOptions, 'kind'>,
) => RunnableNode | Promise<RunnableNode>;

/** Runs one process with the settings in `file` until SIGTERM or SIGINT. */
export async function runNode(file: string, create: CreateNode): Promise<void> {
  const settings = loadOrExit(file);
  const clock = new SystemClock();
  const holder = new SettingsHolder({ file, settings, clock });
  const node: RunnableNode = await create({
    settings,
    currentSettings: () => holder.current,
    clock,
    random: new SystemRandom(),
    onFailure: () => {
      clock.after(FAILURE_MILLISECONDS, () => {
        node.parts.logOutput.stop();
        process.exit(EXIT_CODES.failed);
      });
    },
  });
  const { logger } = node.parts;
  holder.logTo(logger);
  holder.onReload(({ node: { 'log-level': level } }) => {
    logger.level = level;
  });
  node.lifeCycle.add('settings', holder);
  try {
    await node.lifeCycle.start();
  } catch (error) {
    logger.fatal({ event: 'start-failed', error: messageOf(error) });
    node.parts.logOutput.stop();
    process.exit(EXIT_CODES.failed);
  }
  const { 'first-start': firstStart, seeds } = settings.node;
  logger.info({ event: 'started', firstStart, seeds });
  process.once('SIGTERM', () => void stop(node, 'SIGTERM'));
  process.once('SIGINT', () => void stop(node, 'SIGINT'));
  process.on('SIGHUP', () => {
    holder.reload('SIGHUP');
  });
}

async function stop(node: RunnableNode, signal: string): Promise<void> {
  const { logger } = node.parts;
  logger.info({ event: 'stopping', signal });
  try {
    await node.leave?.();
    logger.info({ event: 'stopped' });
    await node.lifeCycle.stop();
    process.exit(EXIT_CODES.stopped);
  } catch (error) {
    logger.fatal({ event: 'stop-failed', error: messageOf(error) });
    node.parts.logOutput.stop();
    process.exit(EXIT_CODES.failed);
  }
}

function loadOrExit(file: string): NodeSettings {
  try {
    return loadSettings(nodeSettingsSchema, file);
  } catch (error) {
    if (!(error instanceof MartenbayError)) throw error;
    process.stderr.write(`${error.issues.map(formatIssue).join('\n')}\n`);
    return process.exit(EXIT_CODES.invalid);
  }
}
