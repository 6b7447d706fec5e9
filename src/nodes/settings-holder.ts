import { statSync } from 'node:fs';
import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import { loadSettings } from '../settings/load';
import { type NodeSettings, nodeSettingsSchema } from './settings';

/** Pause between looks whether the settings file has changed; milliseconds. */
const LOOK_MILLISECONDS = 1000;

export interface SettingsHolderOptions {
  readonly file: string;
  readonly settings: NodeSettings;
  readonly clock: Clock;
}

/**
 * The settings in force. They are read again when the process is told so and when the file changes; a
 * file that is not valid leaves the old ones in force. Requests under way are not touched.
 */
export class SettingsHolder implements Component {
  readonly #options: SettingsHolderOptions;
  readonly #task: PeriodicTask;
  readonly #listeners: ((settings: NodeSettings) => void)[] = [];
  #logger: Logger | undefined;
  #current: NodeSettings;
  #changedAt: number;

  constructor(options: SettingsHolderOptions) {
    this.#options = options;
    this.#current = options.settings;
    this.#changedAt = modifiedAt(options.file);
    this.#task = new PeriodicTask(options.clock, LOOK_MILLISECONDS, () => {
      this.#look();
    });
  }

  get current(): NodeSettings {
    return this.#current;
  }

  /** Told of the settings each time they were read again and are valid. */
  onReload(listener: (settings: NodeSettings) => void): void {
    this.#listeners.push(listener);
  }

  /** Where reloads are logged; the logger exists only after the first reading. */
  logTo(logger: Logger): void {
    this.#logger = logger;
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  reload(reason: string): void {
    try {
      this.#current = loadSettings(nodeSettingsSchema, this.#options.file);
    } catch (error) {
      this.#logger?.error({ event: 'settings-invalid', reason, error: messageOf(error) });
      return;
    }
    const { seeds, 'log-level': logLevel } = this.#current.node;
    this.#logger?.info({ event: 'settings-reloaded', reason, seeds, logLevel });
    for (const listener of this.#listeners) listener(this.#current);
  }

  #look(): void {
    const changedAt = modifiedAt(this.#options.file);
    if (changedAt === this.#changedAt) return;
    this.#changedAt = changedAt;
    this.reload('the file has changed');
  }
}

/** Monotonic only as far as the host's time of day is; a change either way counts. Milliseconds. */
function modifiedAt(file: string): number {
  return statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
}
