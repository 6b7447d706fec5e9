import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import { loadSettings, readModificationTime } from '../settings/load';
import { type NodeSettings, nodeSettingsSchema } from './node-settings';

const CHECK_INTERVAL_MILLISECONDS = 1000;

export interface ReloadableSettingsOptions {
  readonly file: string;
  /** Modification time of the file before `settings` were read; milliseconds. */
  readonly modifiedAt: number;
  readonly settings: NodeSettings;
  readonly clock: Clock;
}

/**
 * The current settings, reloaded on request and when the file's modification time changes. An
 * invalid file is logged, and the previous settings stay active. Requests in flight are not
 * affected.
 */
export class ReloadableSettings implements Component {
  readonly #options: ReloadableSettingsOptions;
  readonly #task: PeriodicTask;
  readonly #listeners: ((settings: NodeSettings) => void)[] = [];
  #logger: Logger | undefined;
  #current: NodeSettings;
  #modifiedAt: number;

  constructor(options: ReloadableSettingsOptions) {
    this.#options = options;
    this.#current = options.settings;
    this.#modifiedAt = options.modifiedAt;
    this.#task = new PeriodicTask(options.clock, CHECK_INTERVAL_MILLISECONDS, () => {
      this.#check();
    });
  }

  get current(): NodeSettings {
    return this.#current;
  }

  /** Adds a listener that is called after each successful reload. */
  onReload(listener: (settings: NodeSettings) => void): void {
    this.#listeners.push(listener);
  }

  /** Reloads are not logged before this call: the logger itself depends on the settings. */
  setLogger(logger: Logger): void {
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

  #check(): void {
    const modifiedAt = readModificationTime(this.#options.file);
    if (modifiedAt === this.#modifiedAt) return;
    this.#modifiedAt = modifiedAt;
    this.reload('the file has changed');
  }
}
