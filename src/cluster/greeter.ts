import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import type { Caller } from '../link';
import type { Confirmation } from './confirmation';
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

/**
 * Age of the last confirmation from which on the process greets as after a start: three greetings have
 * brought none, so a new leader is most likely being elected. Milliseconds.
 */
const UNCONFIRMED_MILLISECONDS = 1000;

/**
 * Keepers that are greeted each time beside the leader, in turn. Five others are each greeted within a
 * second, well before a new leader among them takes silence for a loss (2 s).
 */
const OTHERS_AT_A_TIME = 2;

/**
 * Time that each process adds to the pause while nobody leads, so that a keeper of 380 is asked by all of
 * them no more than a thousand times a second. Milliseconds.
 */
const LEADERLESS_PER_NODE_MILLISECONDS = 1;

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
  /** Told when the leader confirms the newest configuration; nothing where nobody needs to know. */
  readonly confirmation?: Confirmation | undefined;
  /** Whether this process leads the cluster's state, and so needs nobody's confirmation. */
  readonly leads?: () => boolean;
}

/** Tells seeds and keepers of the cluster's state about this process, and learns from them. */
export class Greeter implements Component {
  readonly #options: GreeterOptions;
  readonly #task: PeriodicTask;
  #greetedAt = -Infinity;
  #leader: LeaderHint | undefined;
  #leaderHeardAt = -Infinity;
  /** Greetings up to now; they go on round the other keepers. */
  #round = 0;

  constructor(options: GreeterOptions) {
    this.#options = options;
    this.#task = new PeriodicTask(options.clock, STARTING_MILLISECONDS, () => {
      options.confirmation?.noteRunning();
      this.#confirmAsLeader();
      if (this.#isDue()) this.#greetSome();
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

  #confirmAsLeader(): void {
    const { clock, confirmation, leads } = this.#options;
    if (leads?.() === true) confirmation?.confirm(clock.monotonic());
  }

  /** Whether what everybody should know is missing here, as after a start. */
  get #isStarting(): boolean {
    const { configuration, view } = this.#options;
    return configuration.number === 0 || view.number === 0;
  }

  /** Whether nobody is known to lead, as during an election. */
  get #isLeaderless(): boolean {
    const age = this.#options.confirmation?.ageMilliseconds ?? 0;
    return this.leader === undefined || age > UNCONFIRMED_MILLISECONDS;
  }

  #isDue(): boolean {
    if (this.#isStarting) return true;
    const { clock, directory } = this.#options;
    const pause = this.#isLeaderless
      ? Math.max(STARTING_MILLISECONDS, directory.size * LEADERLESS_PER_NODE_MILLISECONDS)
      : GREETING_MILLISECONDS;
    const sinceLast = clock.monotonic() - this.#greetedAt;
    return sinceLast > pause - STARTING_MILLISECONDS / 2;
  }

  /** Greets all seeds and keepers of the cluster's state. */
  #greetAll(): void {
    this.#greet(this.#addresses());
  }

  /**
   * Greets the leader and some of the others. Purpose: with fewer greetings, checks of connections and
   * messages on loads, a request at 22 gateways and 9 stores took 12.2 ms of processor time in place of 17.5
   * (all processes together, before stand-ins of targets).
   */
  #greetSome(): void {
    const addresses = this.#addresses();
    const leader = this.leader?.address;
    if (this.#isStarting) {
      this.#greet(addresses);
      return;
    }
    const others = addresses.filter((address) => address !== leader);
    const first = this.#round * OTHERS_AT_A_TIME;
    const chosen = Array.from(
      { length: Math.min(OTHERS_AT_A_TIME, others.length) },
      (_, index) => others[(first + index) % others.length] ?? '',
    );
    this.#round += 1;
    const isOther = leader !== undefined && leader !== this.#options.self.address;
    this.#greet(isOther ? [leader, ...chosen] : chosen);
  }

  /** Addresses of the seeds and of the keepers of the cluster's state, without this process's own. */
  #addresses(): readonly string[] {
    const { directory, seeds, self } = this.#options;
    const keepers = directory.all().filter(({ node }) => node.keepsClusterState);
    const addresses = new Set([...seeds(), ...keepers.map(({ node }) => node.address)]);
    addresses.delete(self.address);
    return [...addresses].sort();
  }

  #greet(addresses: readonly string[]): void {
    this.#greetedAt = this.#options.clock.monotonic();
    for (const address of addresses) void this.#greetOne(address);
  }

  async #greetOne(address: string): Promise<void> {
    const { self, status, directory, peers, clock, logger } = this.#options;
    const askedAt = clock.monotonic();
    const greeting = { node: self, status: status(), nodesDigest: directory.digest };
    try {
      const answer = await peers.call(address, 'cluster.greet', greeting, ANSWER_MILLISECONDS);
      this.#take(address, answer, askedAt);
    } catch (error) {
      logger.debug({ event: 'greeting-failed', peer: address, error: messageOf(error) });
    }
  }

  #take(address: string, answer: GreetingAnswer, askedAt: number): void {
    const { directory, configuration, view, confirmation } = this.#options;
    directory.learn(answer.node);
    for (const node of answer.nodes ?? []) directory.learn(node);
    this.hint(answer.leader);
    if (answer.configurationVersion > configuration.number) {
      void this.#fetchConfiguration(address, answer, askedAt);
    } else if (answer.confirms === true) confirmation?.confirm(askedAt);
    if (answer.viewEpoch > view.number) void this.#fetchView(address);
  }

  async #fetchConfiguration(
    address: string,
    { configurationVersion, confirms }: GreetingAnswer,
    askedAt: number,
  ): Promise<void> {
    const { peers, configuration, confirmation, logger } = this.#options;
    try {
      const newer = await peers.call(address, 'cluster.configuration', null, ANSWER_MILLISECONDS);
      if (newer !== undefined) configuration.offer(newer);
      const isNewest = configuration.number >= configurationVersion;
      if (confirms === true && isNewest) confirmation?.confirm(askedAt);
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
