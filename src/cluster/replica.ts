import * as z from 'zod';
import {
  type CancelTimer,
  type Clock,
  type Component,
  type Logger,
  type RandomSource,
  messageOf,
} from '../core';
import type { RpcClient } from '../rpc';
import type { Leadership } from '../quotas';
import {
  type Envelope,
  ReplicatedLog,
  allMembers,
  destinationHostOf,
  envelopeSchema,
  hostNameOf,
} from '../replication';
import { type RecordStore, RetryDelay, StorageError } from '../storage';
import type { ClusterContract, LeaderAnswer, LeaderHint, VersionedConfiguration } from './contract';
import type { NodeDirectory } from './directory';
import type { ClusterBootstrap } from './bootstrap';
import {
  type ClusterCommand,
  ClusterStateMachine,
  type CommandOutcome,
  isApplicable,
} from './state-machine';
import type { LatestValue } from './latest-value';
import type { NodeInfo } from './node';
import { type StoreView, viewSizeFor } from './view';

/** Time without a heartbeat after which another host may replace a replica. */
const FAILURE_TIMEOUT_MILLISECONDS = 2000;

/** Delay before the log is opened again after failures; each try reads all of it. */
const LONGEST_REOPEN_MILLISECONDS = 4000;

/**
 * Replicas beyond the required number, so that one can be replaced without reducing fault
 * tolerance.
 */
const SPARE_VOTERS = 1;

const envelopesSchema = z.array(envelopeSchema);

export interface ClusterReplicaOptions {
  readonly self: NodeInfo;
  /** Simultaneous disk losses that the state must survive. */
  readonly toleratedLosses: number;
  readonly directory: NodeDirectory;
  readonly bootstrap: ClusterBootstrap;
  readonly peers: RpcClient<ClusterContract>;
  /** Opens the stored log; called again after a failed write. */
  readonly openStore: () => RecordStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly configuration: LatestValue<VersionedConfiguration>;
  readonly view: LatestValue<StoreView>;
}

/** This host's replica of the cluster state. */
export class ClusterReplica implements Component {
  readonly #options: ClusterReplicaOptions;
  readonly #reopenDelay: RetryDelay;
  #stateMachine: ClusterStateMachine;
  #log: ReplicatedLog<CommandOutcome>;
  #isStopped = false;
  /** Whether an earlier log of this process has had a term; its host founds no cluster any more. */
  #hasHadState = false;
  #cancelReopen: CancelTimer = () => undefined;
  /** Proposals under way of configurations, by version. */
  readonly #configuring = new Map<number, Promise<LeaderAnswer<CommandOutcome>>>();

  constructor(options: ClusterReplicaOptions) {
    this.#options = options;
    this.#reopenDelay = new RetryDelay({
      clock: options.clock,
      longestMilliseconds: LONGEST_REOPEN_MILLISECONDS,
    });
    this.#stateMachine = this.#createStateMachine();
    this.#log = this.#createLog(this.#stateMachine);
  }

  /** The state as far as it was applied; replaced when the log is opened again. */
  get stateMachine(): ClusterStateMachine {
    return this.#stateMachine;
  }

  /** A host whose disk can't be read serves callers, and votes once it can. */
  async start(): Promise<void> {
    const log = this.#log;
    try {
      await log.start();
    } catch (error) {
      this.#options.logger.error({ event: 'cluster-state-not-opened', error: messageOf(error) });
      this.#scheduleReopen(log);
    }
  }

  stop(): Promise<void> {
    this.#isStopped = true;
    this.#cancelReopen();
    return this.#log.stop();
  }

  /** Transfers leadership to another replica before a planned stop. */
  transferLeadership(): Promise<void> {
    return this.#log.transferLeadership();
  }

  /** Drops what no member sends, as it would stop this one in the middle of a change. */
  receive(envelopes: readonly Envelope[]): void {
    const { success, error } = envelopesSchema.safeParse(envelopes);
    if (success) this.#log.receive(envelopes);
    else this.#options.logger.warn({ event: 'replication-unreadable', error: messageOf(error) });
  }

  /** Whether its disk was read, and no failure has stopped it since. */
  get isUsable(): boolean {
    return this.#log.isRunning;
  }

  /** Whether this replica leads and has applied every acknowledged command. */
  get serves(): boolean {
    return this.#log.serves;
  }

  /** Whether this replica has no state and belongs to no membership yet; false if that is unknown. */
  get isNew(): boolean {
    const log = this.#log;
    if (!log.isRunning || this.#hasHadState) return false;
    return log.term === 0 && log.membership.voters.length === 0;
  }

  /** Host name and incarnation of this replica; valid once its disk was read. */
  get identity(): string {
    return this.#log.identity;
  }

  /** Names of the hosts that receive the log; none while it can't be read. */
  get memberHosts(): readonly string[] {
    if (!this.#log.isRunning) return [];
    return allMembers(this.#log.membership).map(hostNameOf);
  }

  /** Valid only while it {@link serves}. */
  get leadership(): Leadership {
    const { term, leaderSince } = this.#log;
    return { term, since: leaderSince };
  }

  get leader(): LeaderHint | undefined {
    const { leader, term } = this.#log;
    if (leader === undefined) return undefined;
    const name = hostNameOf(leader);
    const { self, directory } = this.#options;
    const address = name === self.name ? self.address : directory.get(name)?.node.address;
    return address === undefined ? undefined : { name, address, term };
  }

  /**
   * Commits a command as the leader; refused while too few replicas exist for the tolerated losses.
   */
  async propose(command: ClusterCommand): Promise<LeaderAnswer<CommandOutcome>> {
    if (!this.#log.serves) return { kind: 'not-leader', leader: this.leader };
    const voters = this.#log.membership.voters.length;
    const needed = viewSizeFor(this.#options.toleratedLosses);
    if (voters < needed) {
      return { kind: 'not-now', reason: `${voters} of ${needed} copies of the state exist` };
    }
    // Once in the log, it would stop each replica.
    if (!isApplicable(command)) return { kind: 'not-now', reason: 'the command is not valid' };
    return command.kind === 'configure' ? this.#configure(command) : this.#commit(command);
  }

  /**
   * Operators send a change again until it is acknowledged. Only the first one is added to the log: the
   * others would be sent to every replica as well.
   */
  #configure(
    command: Extract<ClusterCommand, { kind: 'configure' }>,
  ): Promise<LeaderAnswer<CommandOutcome>> {
    const { version } = command;
    const isHeld = version <= (this.stateMachine.configuration?.version ?? 0);
    if (isHeld) return Promise.resolve({ kind: 'done', value: 'unchanged' });
    const underWay = this.#configuring.get(version);
    if (underWay !== undefined) return underWay;
    const proposal = this.#commit(command).finally(() => {
      this.#configuring.delete(version);
    });
    this.#configuring.set(version, proposal);
    return proposal;
  }

  async #commit(command: ClusterCommand): Promise<LeaderAnswer<CommandOutcome>> {
    try {
      return { kind: 'done', value: await this.#log.propose(JSON.stringify(command)) };
    } catch (error) {
      return { kind: 'not-now', reason: messageOf(error) };
    }
  }

  /** Linearizable read; answered only by the leader. */
  read<Value>(read: () => Value): LeaderAnswer<Value> {
    if (!this.#log.serves) return { kind: 'not-leader', leader: this.leader };
    return { kind: 'done', value: read() };
  }

  #createStateMachine(): ClusterStateMachine {
    const { configuration, view } = this.#options;
    return new ClusterStateMachine({
      onConfiguration: (value) => configuration.offer(value),
      onView: (value) => view.offer(value),
    });
  }

  #createLog(machine: ClusterStateMachine): ReplicatedLog<CommandOutcome> {
    const { self, openStore, clock, random, logger } = this.#options;
    const store = openStore();
    const log = new ReplicatedLog<CommandOutcome>({
      self: self.name,
      hosts: () => this.#desiredHosts(),
      store,
      transport: {
        send: (envelope) => {
          this.#send(envelope);
        },
      },
      machine,
      clock,
      random,
      onChange: () => {
        const { role, term, leader, isVoter: votes } = log;
        logger.info({ event: 'replication', state: role, term, leader, votes });
      },
      onMembership: (membership, reason) => {
        logger.info({ event: 'membership', ...membership, reason });
      },
      onFailure: (error) => {
        this.#logFailure(error);
        this.#scheduleReopen(log);
      },
    });
    return log;
  }

  #logFailure(error: unknown): void {
    const { logger } = this.#options;
    if (error instanceof StorageError) {
      logger.error({ event: 'cluster-state-unwritable', error: messageOf(error) });
      return;
    }
    const stack = error instanceof Error ? error.stack : undefined;
    logger.error({ event: 'cluster-state-failed', error: messageOf(error), stack });
  }

  /** Rebuilds the log and the state from disk as after a restart, once the files are closed. */
  #scheduleReopen(failed: ReplicatedLog<CommandOutcome>): void {
    const { clock, logger } = this.#options;
    this.#hasHadState ||= failed.term > 0;
    const delayMilliseconds = this.#reopenDelay.next();
    const closed = failed.stop().catch((error: unknown) => {
      logger.info({ event: 'cluster-state-not-closed', error: messageOf(error) });
    });
    void closed.then(() => {
      if (this.#isStopped) return;
      this.#cancelReopen = clock.after(delayMilliseconds, () => {
        this.#reopen();
      });
    });
  }

  #reopen(): void {
    const { logger } = this.#options;
    // A new one: the former one may show a change that stopped half-way.
    this.#stateMachine = this.#createStateMachine();
    const log = this.#createLog(this.#stateMachine);
    this.#log = log;
    log.start().then(
      () => {
        logger.info({ event: 'cluster-state-reopened', term: log.term });
      },
      (error: unknown) => {
        logger.error({ event: 'cluster-state-not-reopened', error: messageOf(error) });
        this.#scheduleReopen(log);
      },
    );
  }

  #send(envelope: Envelope): void {
    const address = this.#options.directory.get(destinationHostOf(envelope))?.node.address;
    if (address !== undefined) this.#options.peers.cast(address, 'cluster.replicate', [envelope]);
  }

  /**
   * Hosts that should hold a replica: hosts with recent heartbeats, current members first, and
   * unresponsive members while too few others exist. The bootstrapping host lists only itself.
   */
  #desiredHosts(): readonly string[] {
    const { self, directory, bootstrap, toleratedLosses } = this.#options;
    const mayFound = bootstrap.isGranted && !this.#hasHadState;
    if (mayFound && this.#log.term === 0) return [self.name];
    const replicas = directory.all().filter(({ node }) => node.keepsClusterState);
    if (this.#log.role !== 'leader') {
      return replicas.map(({ node }) => node.name).filter((name) => name !== self.name);
    }
    const members = allMembers(this.#log.membership).map(hostNameOf);
    const responsive = directory
      .withHeartbeatWithin(FAILURE_TIMEOUT_MILLISECONDS)
      .filter(({ node }) => node.keepsClusterState)
      .map(({ node }) => node.name)
      .sort((left, right) => Number(members.includes(right)) - Number(members.includes(left)));
    const others = responsive.filter((name) => name !== self.name);
    const limit = viewSizeFor(toleratedLosses) + SPARE_VOTERS;
    const chosen = [self.name, ...others].slice(0, limit);
    if (chosen.length >= viewSizeFor(toleratedLosses)) return chosen;
    return [...new Set([...chosen, ...members])];
  }
}
