import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import type { RpcClient } from '../rpc';
import type { LeaderConfirmation } from './leader-confirmation';
import type {
  ClusterContract,
  HeartbeatResponse,
  LeaderHint,
  VersionedConfiguration,
} from './contract';
import type { NodeDirectory } from './directory';
import type { LatestValue } from './latest-value';
import type { NodeInfo, NodeStatus } from './node';
import type { StoreView } from './view';

/** Interval between heartbeats; a configuration change must reach every process within 2 s. */
export const HEARTBEAT_INTERVAL_MILLISECONDS = 300;

/** Interval while no configuration or no view is known, as after a start. */
const STARTUP_INTERVAL_MILLISECONDS = 75;

/**
 * Age of the last confirmation above which an election is assumed and heartbeats are sent more
 * often: three heartbeats to the leader have not been confirmed.
 */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1000;

/**
 * Seeds and replicas per round in addition to the leader, in rotation. Five of them all receive a
 * heartbeat within 1 s, less than the failure timeout of a newly elected leader (2 s).
 */
const RECIPIENTS_PER_ROUND = 2;

/**
 * Added to the interval for each known node while there is no leader, so that the total rate of
 * heartbeats does not grow with the cluster: a replica receives at most 1000 per second from 380
 * nodes.
 */
const LEADERLESS_INTERVAL_PER_NODE_MILLISECONDS = 1;

const RESPONSE_TIMEOUT_MILLISECONDS = 1000;

/**
 * Time from the first report of a newer configuration until it is fetched; usually another process
 * sends it before.
 */
const FETCH_DELAY_MILLISECONDS = 200;

/** Time for which a leader reported by another process is used. */
const LEADER_HINT_LIFETIME_MILLISECONDS = 3000;

export interface HeartbeatSenderOptions {
  readonly self: NodeInfo;
  readonly status: () => NodeStatus;
  /** Addresses (IP:port) of the processes listed in the settings. */
  readonly seeds: () => readonly string[];
  readonly directory: NodeDirectory;
  readonly peers: RpcClient<ClusterContract>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly configuration: LatestValue<VersionedConfiguration>;
  readonly view: LatestValue<StoreView>;
  /** Notified when the leader confirms that this process has the newest configuration. */
  readonly confirmation?: LeaderConfirmation | undefined;
  /** Whether this process leads the cluster state and therefore confirms itself. */
  readonly isLeader?: () => boolean;
}

/**
 * Sends heartbeats to the seeds and to the replicas of the cluster state. From the responses it
 * learns of other nodes and of the leader, and fetches a newer configuration or view.
 */
export class HeartbeatSender implements Component {
  readonly #options: HeartbeatSenderOptions;
  readonly #task: PeriodicTask;
  #lastSentAt = -Infinity;
  #leader: LeaderHint | undefined;
  #leaderHintAt = -Infinity;
  /** Rounds sent so far; selects the next recipients in the rotation. */
  #round = 0;
  #isFetching = false;
  /** The newest configuration that another process has reported, and when it was first reported. */
  #reported = { version: 0, at: -Infinity };

  constructor(options: HeartbeatSenderOptions) {
    this.#options = options;
    options.configuration.onChange(() => {
      this.#reportToLeader();
    });
    this.#task = new PeriodicTask(options.clock, STARTUP_INTERVAL_MILLISECONDS, () => {
      options.confirmation?.recordActivity();
      this.#confirmAsLeader();
      if (this.#isDue()) this.#sendRound();
    });
  }

  start(): void {
    this.#sendToAll();
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  /** The leader of the highest term reported within {@link LEADER_HINT_LIFETIME_MILLISECONDS}. */
  get leader(): LeaderHint | undefined {
    const age = this.#options.clock.monotonic() - this.#leaderHintAt;
    return age <= LEADER_HINT_LIFETIME_MILLISECONDS ? this.#leader : undefined;
  }

  /** Records a leader reported by another process, unless its term is lower than the known one. */
  recordLeaderHint(leader: LeaderHint | undefined): void {
    if (leader === undefined) return;
    if (this.leader !== undefined && leader.term < this.leader.term) return;
    this.#leader = leader;
    this.#leaderHintAt = this.#options.clock.monotonic();
  }

  /** An acknowledgement of the configuration waits until its leader knows that it is in force here. */
  #reportToLeader(): void {
    const address = this.leader?.address;
    if (address !== undefined && address !== this.#options.self.address) void this.#sendTo(address);
  }

  #confirmAsLeader(): void {
    const { clock, confirmation, isLeader } = this.#options;
    if (isLeader?.() === true) confirmation?.confirm(clock.monotonic());
  }

  /** Whether this process has no configuration or no view yet. */
  get #isStarting(): boolean {
    const { configuration, view } = this.#options;
    return configuration.version === 0 || view.version === 0;
  }

  /** Whether no leader is known or the leader has not confirmed recently, as during an election. */
  get #isLeaderless(): boolean {
    const age = this.#options.confirmation?.ageMilliseconds ?? 0;
    return this.leader === undefined || age > CONFIRMATION_TIMEOUT_MILLISECONDS;
  }

  #isDue(): boolean {
    if (this.#isStarting) return true;
    const { clock, directory } = this.#options;
    const interval = this.#isLeaderless
      ? Math.max(
          STARTUP_INTERVAL_MILLISECONDS,
          directory.size * LEADERLESS_INTERVAL_PER_NODE_MILLISECONDS,
        )
      : HEARTBEAT_INTERVAL_MILLISECONDS;
    const sinceLast = clock.monotonic() - this.#lastSentAt;
    return sinceLast > interval - STARTUP_INTERVAL_MILLISECONDS / 2;
  }

  #sendToAll(): void {
    this.#send(this.#addresses());
  }

  /** Sends to the leader and the next recipients in the rotation; during startup to all. */
  #sendRound(): void {
    const addresses = this.#addresses();
    const leader = this.leader?.address;
    if (this.#isStarting) {
      this.#send(addresses);
      return;
    }
    const others = addresses.filter((address) => address !== leader);
    const first = this.#round * RECIPIENTS_PER_ROUND;
    const recipients = Array.from(
      { length: Math.min(RECIPIENTS_PER_ROUND, others.length) },
      (_, index) => others[(first + index) % others.length] ?? '',
    );
    this.#round += 1;
    const isLeaderRemote = leader !== undefined && leader !== this.#options.self.address;
    this.#send(isLeaderRemote ? [leader, ...recipients] : recipients);
  }

  /** Addresses of the seeds and replicas, without this process's own. */
  #addresses(): readonly string[] {
    const { directory, seeds, self } = this.#options;
    const replicas = directory.all().filter(({ node }) => node.keepsClusterState);
    const addresses = new Set([...seeds(), ...replicas.map(({ node }) => node.address)]);
    addresses.delete(self.address);
    return [...addresses].sort();
  }

  #send(addresses: readonly string[]): void {
    this.#lastSentAt = this.#options.clock.monotonic();
    for (const address of addresses) void this.#sendTo(address);
  }

  async #sendTo(address: string): Promise<void> {
    const { self, status, directory, peers, clock, logger } = this.#options;
    const requestedAt = clock.monotonic();
    const heartbeat = { node: self, status: status(), nodesDigest: directory.digest };
    try {
      const response = await peers.call(
        address,
        'cluster.greet',
        heartbeat,
        RESPONSE_TIMEOUT_MILLISECONDS,
      );
      this.#applyResponse(address, response, requestedAt);
    } catch (error) {
      logger.debug({ event: 'greeting-failed', peer: address, error: messageOf(error) });
    }
  }

  #applyResponse(address: string, response: HeartbeatResponse, requestedAt: number): void {
    const { directory, configuration, view, confirmation } = this.#options;
    directory.recordReport(response.node);
    for (const node of response.nodes ?? []) directory.recordReport(node);
    this.recordLeaderHint(response.leader);
    if (response.configurationVersion > configuration.version) {
      if (this.#isFetchDue(response.configurationVersion)) {
        void this.#fetchConfiguration(address, response, requestedAt);
      }
    } else if (response.confirms === true) confirmation?.confirm(requestedAt);
    if (response.viewEpoch > view.version) void this.#fetchView(address);
  }

  #isFetchDue(version: number): boolean {
    if (this.#isFetching) return false;
    const now = this.#options.clock.monotonic();
    if (version > this.#reported.version) this.#reported = { version, at: now };
    return this.#isStarting || now - this.#reported.at >= FETCH_DELAY_MILLISECONDS;
  }

  /** One fetch at a time, so that the text does not come from several processes at once. */
  async #fetchConfiguration(
    address: string,
    { configurationVersion, confirms }: HeartbeatResponse,
    requestedAt: number,
  ): Promise<void> {
    const { peers, configuration, confirmation, logger } = this.#options;
    this.#isFetching = true;
    try {
      const newer = await peers.call(
        address,
        'cluster.configuration',
        null,
        RESPONSE_TIMEOUT_MILLISECONDS,
      );
      if (newer !== undefined) configuration.offer(newer);
      const isUpToDate = configuration.version >= configurationVersion;
      if (confirms === true && isUpToDate) confirmation?.confirm(requestedAt);
    } catch (error) {
      logger.warn({ event: 'configuration-not-read', peer: address, error: messageOf(error) });
    } finally {
      this.#isFetching = false;
    }
  }

  async #fetchView(address: string): Promise<void> {
    const { peers, view, logger } = this.#options;
    try {
      const newer = await peers.call(address, 'cluster.view', null, RESPONSE_TIMEOUT_MILLISECONDS);
      if (newer !== undefined) view.offer(newer);
    } catch (error) {
      logger.warn({ event: 'view-not-read', peer: address, error: messageOf(error) });
    }
  }
}
