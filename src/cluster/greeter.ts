import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import type { Caller } from '../link';
import type {
  ClusterContract,
  GreetingAnswer,
  LeaderHint,
  VersionedConfiguration,
} from './contract';
import type { NodeDirectory } from './directory';
import type { Newest } from './newest';
import type { NodeInfo, NodeStatus } from './node';
import type { StoreView } from './view';

/** Pause between greetings; a change must be known everywhere within 2 s. Milliseconds. */
export const GREETING_MILLISECONDS = 300;

/** The same while no configuration or no view is known, as after a start. Milliseconds. */
const STARTING_MILLISECONDS = 75;

/** Longest wait for an answer; milliseconds. */
const ANSWER_MILLISECONDS = 1000;

/** Time for which another process's word about the leader is believed; milliseconds. */
const HINT_MILLISECONDS = 3000;

export interface GreeterOptions {
  readonly self: NodeInfo;
  readonly status: () => NodeStatus;
  /** Addresses (IP:port) of the processes that the settings name. */
  readonly seeds: () => readonly string[];
  readonly directory: NodeDirectory;
  readonly peers: Caller<ClusterContract>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly configuration: Newest<VersionedConfiguration>;
  readonly view: Newest<StoreView>;
}

/** Tells seeds and keepers of the cluster's state about this process, and learns from them. */
export class Greeter implements Component {
  readonly #options: GreeterOptions;
  readonly #task: PeriodicTask;
  #greetedAt = -Infinity;
  #leader: LeaderHint | undefined;
  #leaderHeardAt = -Infinity;

  constructor(options: GreeterOptions) {
    this.#options = options;
    this.#task = new PeriodicTask(options.clock, STARTING_MILLISECONDS, () => {
      if (this.#isDue()) this.#greetAll();
    });
  }

  start(): void {
    this.#greetAll();
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  /** The leader of the newest term that others spoke of lately. */
  get leader(): LeaderHint | undefined {
    const age = this.#options.clock.monotonic() - this.#leaderHeardAt;
    return age <= HINT_MILLISECONDS ? this.#leader : undefined;
  }

  /** Notes what another process said about the leader. */
  hint(leader: LeaderHint | undefined): void {
    if (leader === undefined) return;
    if (this.leader !== undefined && leader.term < this.leader.term) return;
    this.#leader = leader;
    this.#leaderHeardAt = this.#options.clock.monotonic();
  }

  #isDue(): boolean {
    const { clock, configuration, view } = this.#options;
    if (configuration.number === 0 || view.number === 0) return true;
    const sinceLast = clock.monotonic() - this.#greetedAt;
    return sinceLast > GREETING_MILLISECONDS - STARTING_MILLISECONDS / 2;
  }

  /** Greets seeds, keepers of the cluster's state and nothing else. */
  #greetAll(): void {
    const { directory, seeds, self, clock } = this.#options;
    this.#greetedAt = clock.monotonic();
    const keepers = directory.all().filter(({ node }) => node.keepsClusterState);
    const addresses = new Set([...seeds(), ...keepers.map(({ node }) => node.address)]);
    addresses.delete(self.address);
    for (const address of addresses) void this.#greet(address);
  }

  async #greet(address: string): Promise<void> {
    const { self, status, directory, peers, logger } = this.#options;
    const greeting = { node: self, status: status(), nodesDigest: directory.digest };
    try {
      const answer = await peers.call(address, 'cluster.greet', greeting, ANSWER_MILLISECONDS);
      this.#take(address, answer);
    } catch (error) {
      logger.debug({ event: 'greeting-failed', peer: address, error: messageOf(error) });
    }
  }

  #take(address: string, answer: GreetingAnswer): void {
    const { directory, configuration, view } = this.#options;
    directory.learn(answer.node);
    for (const node of answer.nodes ?? []) directory.learn(node);
    this.hint(answer.leader);
    if (answer.configurationVersion > configuration.number) void this.#fetchConfiguration(address);
    if (answer.viewEpoch > view.number) void this.#fetchView(address);
  }

  async #fetchConfiguration(address: string): Promise<void> {
    const { peers, configuration, logger } = this.#options;
    try {
      const newer = await peers.call(address, 'cluster.configuration', null, ANSWER_MILLISECONDS);
      if (newer !== undefined) configuration.offer(newer);
    } catch (error) {
      logger.warn({ event: 'configuration-not-read', peer: address, error: messageOf(error) });
    }
  }

  async #fetchView(address: string): Promise<void> {
    const { peers, view, logger } = this.#options;
    try {
      const newer = await peers.call(address, 'cluster.view', null, ANSWER_MILLISECONDS);
      if (newer !== undefined) view.offer(newer);
    } catch (error) {
      logger.warn({ event: 'view-not-read', peer: address, error: messageOf(error) });
    }
  }
}
