import type { ConfigurationInForce } from '../configuration';
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

export interface PresenceOptions {
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly heartbeatMilliseconds: number;
  /** The process's present state. */
  readonly describe: () => Heartbeat;
  /** What the process has, so that it is told only what is newer. */
  readonly position: () => Omit<Watch, 'waitMilliseconds'>;
  readonly onChanges: (changes: WatchChanges) => Promise<void> | void;
}

/** Puts a configuration that a watch brought in force, and tells the leader so. */
export function adoptChanges(
  configuration: ConfigurationInForce,
  changes: WatchChanges,
  presence: Presence,
  logger: Logger,
): void {
  if (changes.configuration === undefined) return;
  const { number } = changes.configuration;
  const outcome = configuration.adopt(changes.configuration);
  logger.info({ event: 'configuration', outcome, number });
  void presence.announce();
}

/** How long the leader holds a watch without news; milliseconds. */
const WATCH_MILLISECONDS = 10_000;

/** Margin for the answer to a held watch; milliseconds. */
const ANSWER_MILLISECONDS = 2000;

/** A leader that has not answered a heartbeat by then is taken for frozen or cut off. */
const HEARTBEAT_ANSWER_MILLISECONDS = 1000;

const HEARTBEAT_DEADLINE_MILLISECONDS = 3000;

const RETRY_MILLISECONDS = 100;

/** Keeps an entry or sidecar known to the leader, and brings it what changes. */
export class Presence implements Component {
  readonly #options: PresenceOptions;
  #cancelHeartbeat: CancelTimer = () => undefined;
  #stopped = false;

  constructor(options: PresenceOptions) {
    this.#options = options;
  }

  start(): void {
    const { clock, heartbeatMilliseconds } = this.#options;
    void this.announce();
    this.#cancelHeartbeat = repeat(clock, heartbeatMilliseconds, () => this.announce());
    void this.#watch();
  }

  stop(): void {
    this.#stopped = true;
    this.#cancelHeartbeat();
  }

  /** Sends a heartbeat now; resolves once it was heard or given up. */
  async announce(): Promise<void> {
    const { client, describe, logger } = this.#options;
    try {
      await client.call(
        (connection, signal) => connection.nodes.heartbeat.mutate(describe(), { signal }),
        {
          deadlineMilliseconds: HEARTBEAT_DEADLINE_MILLISECONDS,
          attemptMilliseconds: HEARTBEAT_ANSWER_MILLISECONDS,
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
              { ...this.#options.position(), waitMilliseconds: WATCH_MILLISECONDS },
              { signal },
            ),
          {
            deadlineMilliseconds: WATCH_MILLISECONDS * 2,
            attemptMilliseconds: WATCH_MILLISECONDS + ANSWER_MILLISECONDS,
          },
        );
        await onChanges(changes);
      } catch (error) {
        if (this.#isStopped) return;
        logger.warn({ event: 'watch-failed', error: messageOf(error) });
        await delay(clock, RETRY_MILLISECONDS);
      }
    }
  }

  get #isStopped(): boolean {
    return this.#stopped;
  }
}
