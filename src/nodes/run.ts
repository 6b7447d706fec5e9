import {
  type Clock,
  LifeCycle,
  type ProcessSignals,
  type StopSignal,
  SystemClock,
  SystemRandom,
  UncaughtErrors,
  messageOf,
} from '../core';
import { readInitialSettings } from '../settings/initial-settings';
import { type NodeSettings, nodeSettingsSchema } from './node-settings';
import { FORMER_LIFETIME_ENDS, LifetimeRecord } from './lifetime-record';
import type { NodeContext, NodeContextOptions } from './node-context';
import { ReloadableSettings } from './reloadable-settings';

const EXIT_CODES = { stopped: 0, failed: 1, invalid: 2 } as const;

export interface RunnableNode {
  readonly context: NodeContext;
  readonly lifeCycle: LifeCycle;
  /** Finishes the work in flight before the life cycle stops. */
  readonly drain?: () => Promise<void>;
  /** Makes a start that would last long reject; another one is completed. */
  readonly cancelStart?: () => void;
}

export type CreateNode = (options: Omit<NodeContextOptions, 'kind'>) => RunnableNode;

export interface RunOptions {
  /** Path of the settings. */
  readonly file: string;
  readonly signals: ProcessSignals;
  readonly create: CreateNode;
}

/** Runs one process until SIGTERM or SIGINT; one that arrives earlier is obeyed after the start. */
export async function runNode({ file, signals, create }: RunOptions): Promise<void> {
  const clock = new SystemClock();
  const schema = nodeSettingsSchema;
  const initial = await readInitialSettings({ schema, file, signals, clock, report: writeError });
  if (initial.kind === 'invalid') process.exit(EXIT_CODES.invalid);
  if (initial.kind === 'stopped') process.exit(EXIT_CODES.stopped);
  const { settings, modifiedAt } = initial;
  const reloadableSettings = new ReloadableSettings({ file, modifiedAt, settings, clock });
  const node = create({
    settings,
    currentSettings: () => reloadableSettings.current,
    clock,
    random: new SystemRandom(),
  });
  process.once('exit', () => {
    node.context.logOutput.writeNow();
  });
  const running = new RunningNode({ node, settings, reloadableSettings, clock });
  const { logger } = node.context;
  reloadableSettings.setLogger(logger);
  reloadableSettings.onReload(({ node: { 'log-level': level } }) => {
    logger.level = level;
  });
  signals.onReload(() => {
    reloadableSettings.reload('SIGHUP');
  });
  signals.onStop(() => node.cancelStart?.());
  if (!(await running.start(signals))) return;
  signals.onStop((signal) => {
    running.stop(signal);
  });
}

interface RunningNodeOptions {
  readonly node: RunnableNode;
  readonly settings: NodeSettings;
  readonly reloadableSettings: ReloadableSettings;
  readonly clock: Clock;
}

/** A process from its start to its exit. */
class RunningNode {
  readonly #node: RunnableNode;
  readonly #settings: NodeSettings;
  readonly #clock: Clock;
  readonly #lifetime: LifetimeRecord;
  readonly #lifeCycle = new LifeCycle();
  #isStarted = false;
  #isEnding = false;

  constructor({ node, settings, reloadableSettings, clock }: RunningNodeOptions) {
    this.#node = node;
    this.#settings = settings;
    this.#clock = clock;
    const { logger, metrics } = node.context;
    this.#lifetime = new LifetimeRecord({ dataFolder: settings.node['data-folder'], logger });
    const { former } = this.#lifetime;
    for (const end of FORMER_LIFETIME_ENDS) {
      metrics.gauge(`former_lifetime{end="${end}"}`, () => Number(former.end === end));
    }
    const onExcess = (error: unknown) => {
      this.fail(error);
    };
    const uncaughtErrors = new UncaughtErrors({ clock, logger, metrics, onExcess });
    this.#lifeCycle.add('uncaught-errors', uncaughtErrors);
    this.#lifeCycle.add('node', node.lifeCycle);
    this.#lifeCycle.add('settings', reloadableSettings);
  }

  /** Resolves with whether the process serves; if not, it is ending. */
  async start(signals: ProcessSignals): Promise<boolean> {
    const { context } = this.#node;
    this.#lifetime.recordRunning();
    try {
      await this.#lifeCycle.start();
    } catch (error) {
      if (signals.stopSignal !== undefined) {
        this.stop(signals.stopSignal);
        return false;
      }
      context.logger.fatal({ event: 'start-failed', error: messageOf(error) });
      this.fail(error);
      return false;
    }
    this.#isStarted = true;
    this.#lifetime.recordRunning();
    const { 'first-start': firstStart, seeds } = this.#settings.node;
    const { former } = this.#lifetime;
    context.logger.info({ event: 'started', firstStart, seeds, formerLifetime: former });
    return true;
  }

  /** Ends the process in order; later calls do nothing. */
  stop(signal: StopSignal): void {
    if (this.#isEnding) return;
    this.#isEnding = true;
    this.#node.context.logger.info({ event: 'stopping', signal });
    void this.#end(EXIT_CODES.stopped);
  }

  /** Ends the process after an unrecoverable failure, with the requests in flight answered. */
  fail(error: unknown): void {
    if (this.#isEnding) return;
    this.#isEnding = true;
    const stack = error instanceof Error ? error.stack : undefined;
    this.#node.context.logger.fatal({ event: 'process-failed', error: messageOf(error), stack });
    this.#lifetime.recordFailed(messageOf(error));
    this.#clock.after(this.#settings.node['stop-seconds'] * 1000, () => {
      process.exit(EXIT_CODES.failed);
    });
    void this.#end(EXIT_CODES.failed);
  }

  async #end(code: number): Promise<void> {
    const { context, drain } = this.#node;
    const { logger, logOutput } = context;
    try {
      if (this.#isStarted) await drain?.();
      logger.info({ event: 'stopped' });
      await this.#lifeCycle.stop();
      if (code === EXIT_CODES.stopped) this.#lifetime.recordStopped();
      await logOutput.stop();
      process.exit(code);
    } catch (error) {
      logger.fatal({ event: 'stop-failed', error: messageOf(error) });
      this.#lifetime.recordFailed(messageOf(error));
      await logOutput.stop();
      process.exit(EXIT_CODES.failed);
    }
  }
}

function writeError(text: string): void {
  process.stderr.write(`${text}\n`);
}
