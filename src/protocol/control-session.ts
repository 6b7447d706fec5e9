import type { ActiveConfiguration } from '../configuration';
import {
  type CancelTimer,
  type Clock,
  type Component,
  type Logger,
  delay,
  messageOf,
  repeat,
} from '../core';
import type { ControlClient } from './control-client';
import type { Heartbeat, Watch, WatchChanges } from './schemas';

export interface ControlSessionOptions {
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly heartbeatMilliseconds: number;
  /** Current state of the process. */
  readonly createHeartbeat: () => Heartbeat;
  /** Versions that the process already has; a watch returns only newer ones. */
  readonly watchPosition: () => Omit<Watch, 'waitMilliseconds'>;
  readonly onChanges: (changes: WatchChanges) => Promise<void> | void;
}

/** Activates a configuration received by a watch and reports its number to the leader. */
export function applyConfigurationChange(
  configuration: ActiveConfiguration,
  changes: WatchChanges,
  session: ControlSession,
  logger: Logger,
): void {
  if (changes.configuration === undefined) return;
  const { number } = changes.configuration;
  const outcome = configuration.adopt(changes.configuration);
  logger.info({ event: 'configuration', outcome, number });
  void session.sendHeartbeat();
}

/** Time after which the leader responds to a watch (a long poll) even if nothing has changed. */
const WATCH_WAIT_MILLISECONDS = 10_000;

/** Added to the wait: the leader responds only when the wait ends. */
const RESPONSE_MARGIN_MILLISECONDS = 2000;

/** After this time without a response the leader is treated as suspended or unreachable. */
const HEARTBEAT_TIMEOUT_MILLISECONDS = 1000;

const HEARTBEAT_DEADLINE_MILLISECONDS = 3000;

const WATCH_RETRY_DELAY_MILLISECONDS = 100;

/** Sends heartbeats of an entry or sidecar to the leader and watches it for changes. */
export class ControlSession implements Component {
  readonly #options: ControlSessionOptions;
  #cancelHeartbeat: CancelTimer = () => undefined;
  #stopped = false;

  constructor(options: ControlSessionOptions) {
    this.#options = options;
  }

  start(): void {
    const { clock, heartbeatMilliseconds } = this.#options;
    void this.sendHeartbeat();
    this.#cancelHeartbeat = repeat(clock, heartbeatMilliseconds, () => this.sendHeartbeat());
    void this.#watch();
  }

  stop(): void {
    this.#stopped = true;
    this.#cancelHeartbeat();
  }

  /** Sends a heartbeat immediately; resolves once it was acknowledged or has failed. */
  async sendHeartbeat(): Promise<void> {
    const { client, createHeartbeat, logger } = this.#options;
    try {
      await client.call(
        (connection, signal) => connection.nodes.heartbeat.mutate(createHeartbeat(), { signal }),
        {
          deadlineMilliseconds: HEARTBEAT_DEADLINE_MILLISECONDS,
          attemptMilliseconds: HEARTBEAT_TIMEOUT_MILLISECONDS,
        },
      );
    } catch (error) {
      logger.debug({ event: 'heartbeat-failed', error: messageOf(error) });
    }
  }

  async #watch(): Promise<void> {
    const { client, clock, logger, onChanges } = this.#options;
    while (!this.#stopped) {
      try {
        const changes = await client.call<WatchChanges>(
          (connection, signal) =>
            connection.nodes.watch.query(
              { ...this.#options.watchPosition(), waitMilliseconds: WATCH_WAIT_MILLISECONDS },
              { signal },
            ),
          {
            deadlineMilliseconds: WATCH_WAIT_MILLISECONDS * 2,
            attemptMilliseconds: WATCH_WAIT_MILLISECONDS + RESPONSE_MARGIN_MILLISECONDS,
          },
        );
        await onChanges(changes);
      } catch (error) {
        if (this.#isStopped) return;
        logger.warn({ event: 'watch-failed', error: messageOf(error) });
        await delay(clock, WATCH_RETRY_DELAY_MILLISECONDS);
      }
    }
  }

  get #isStopped(): boolean {
    return this.#stopped;
  }
}
