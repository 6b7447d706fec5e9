import { statSync } from 'node:fs';
import {
  type Clock,
  type LifeCycle,
  type Logger,
  MartenbayError,
  PeriodicTask,
  SystemClock,
  SystemRandom,
  formatIssue,
  messageOf,
} from '../core';
import { loadSettings } from '../settings/load';
import { type NodeSettings, nodeSettingsSchema } from './settings';
import type { NodeParts, NodePartsOptions } from './node';

/** Pause between looks whether the settings file has changed; milliseconds. */
const SETTINGS_MILLISECONDS = 1000;

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
  const holder = new SettingsHolder(file, settings, clock);
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
  holder.watch(logger);
  node.lifeCycle.add('settings', holder.task);
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
    holder.reload(logger, 'SIGHUP');
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

/** The settings in force; a file that is not valid leaves the old ones in force. */
class SettingsHolder {
  readonly #file: string;
  readonly #clock: Clock;
  #current: NodeSettings;
  #changedAt: number;
  task = new PeriodicTask(new SystemClock(), SETTINGS_MILLISECONDS, () => undefined);

  constructor(file: string, settings: NodeSettings, clock: Clock) {
    this.#file = file;
    this.#current = settings;
    this.#clock = clock;
    this.#changedAt = modifiedAt(file);
  }

  get current(): NodeSettings {
    return this.#current;
  }

  watch(logger: Logger): void {
    this.task = new PeriodicTask(this.#clock, SETTINGS_MILLISECONDS, () => {
      const changedAt = modifiedAt(this.#file);
      if (changedAt === this.#changedAt) return;
      this.#changedAt = changedAt;
      this.reload(logger, 'the file has changed');
    });
  }

  reload(logger: Logger, reason: string): void {
    try {
      this.#current = loadSettings(nodeSettingsSchema, this.#file);
      logger.info({ event: 'settings-reloaded', reason, seeds: this.#current.node.seeds });
    } catch (error) {
      logger.error({ event: 'settings-invalid', reason, error: messageOf(error) });
    }
  }
}

function modifiedAt(file: string): number {
  return statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
}
