import {
  type CancelTimer,
  type Clock,
  type Component,
  type Logger,
  type RandomSource,
  messageOf,
} from '../core';
import type { Caller } from '../link';
import type { Leadership } from '../quotas';
import { type Envelope, ReplicatedLog, allMembers, hostOf, nameOf } from '../replication';
import type { RecordStore } from '../storage';
import type { ClusterContract, LeaderAnswer, LeaderHint, VersionedConfiguration } from './contract';
import type { NodeDirectory } from './directory';
import type { Founding } from './founding';
import { type ClusterCommand, ClusterMachine, type CommandOutcome } from './machine';
import type { Newest } from './newest';
import type { NodeInfo } from './node';
import { type StoreView, viewSizeFor } from './view';

/** Silence of a keeper after which another host may take its place; milliseconds. */
const SILENCE_MILLISECONDS = 2000;

/** Pause after which a disk that has refused a write is tried again; milliseconds. */
const REOPEN_MILLISECONDS = 1000;

/** Copies beyond those that the tolerated losses need, so that one can be replaced in peace. */
const SPARE_VOTERS = 1;

export interface ClusterMemberOptions {
  readonly self: NodeInfo;
  /** Lost disks at one time that the state must outlast. */
  readonly toleratedLosses: number;
  readonly directory: NodeDirectory;
  readonly founding: Founding;
  readonly peers: Caller<ClusterContract>;
  /** Opens what the disk holds; called again after the disk has refused a write. */
  readonly openStore: () => RecordStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly configuration: Newest<VersionedConfiguration>;
  readonly view: Newest<StoreView>;
}

/** This host's copy of the cluster's replicated state. */
export class ClusterMember implements Component {
  readonly #options: ClusterMemberOptions;
  readonly machine: ClusterMachine;
  #log: ReplicatedLog<CommandOutcome>;
  #cancelReopening: CancelTimer = () => undefined;

  constructor(options: ClusterMemberOptions) {
    this.#options = options;
    const { configuration, view } = options;
    this.machine = new ClusterMachine({
      onConfiguration: (value) => configuration.offer(value),
      onView: (value) => view.offer(value),
    });
    this.#log = this.#createLog();
  }

  start(): Promise<void> {
    return this.#log.start();
  }

  stop(): Promise<void> {
    this.#cancelReopening();
    return this.#log.stop();
  }

  /** Hands leadership over before a planned stop. */
  handOver(): Promise<void> {
    return this.#log.handOver();
  }

  receive(envelopes: readonly Envelope[]): void {
    this.#log.receive(envelopes);
  }

  /** Whether this member leads and holds everything that was acknowledged. */
  get serves(): boolean {
    return this.#log.serves;
  }

  /** Whether this copy holds nothing and belongs to no membership yet. */
  get isNew(): boolean {
    return this.#log.term === 0 && this.#log.membership.voters.length === 0;
  }

  /** This member's leadership, while it {@link serves}. */
  get leadership(): Leadership {
    const { term, leaderSince } = this.#log;
    return { term, since: leaderSince };
  }

  get leader(): LeaderHint | undefined {
    const { leader, term } = this.#log;
    if (leader === undefined) return undefined;
    const name = nameOf(leader);
    const { self, directory } = this.#options;
    const address = name === self.name ? self.address : directory.get(name)?.node.address;
    return address === undefined ? undefined : { name, address, term };
  }

  /** Carries a command out as the leader, once enough copies exist to outlast the losses. */
  async propose(command: ClusterCommand): Promise<LeaderAnswer<CommandOutcome>> {
    if (!this.#log.serves) return { kind: 'not-leader', leader: this.leader };
    const voters = this.#log.membership.voters.length;
    const needed = viewSizeFor(this.#options.toleratedLosses);
    if (voters < needed) {
      return { kind: 'not-now', reason: `${voters} of ${needed} copies of the state exist` };
    }
    try {
      return { kind: 'done', value: await this.#log.propose(JSON.stringify(command)) };
    } catch (error) {
      return { kind: 'not-now', reason: messageOf(error) };
    }
  }

  /** Reads as the leader what nobody else can have replaced. */
  read<Value>(read: () => Value): LeaderAnswer<Value> {
    if (!this.#log.serves) return { kind: 'not-leader', leader: this.leader };
    return { kind: 'done', value: read() };
  }

  #createLog(): ReplicatedLog<CommandOutcome> {
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
      machine: this.machine,
      clock,
      random,
      onChange: () => {
        const { role, term, leader, votes } = log;
        logger.info({ event: 'replication', state: role, term, leader, votes });
      },
      onMembership: (membership, reason) => {
        logger.info({ event: 'membership', ...membership, reason });
      },
      onFailure: (error) => {
        logger.error({ event: 'cluster-state-unwritable', error: messageOf(error) });
        this.#reopenLater(log);
      },
    });
    return log;
  }

  /** Begins again on what the disk holds, as after a restart; the state takes commands twice. */
  #reopenLater(failed: ReplicatedLog<CommandOutcome>): void {
    const { clock, logger } = this.#options;
    this.#cancelReopening = clock.after(REOPEN_MILLISECONDS, () => {
      if (this.#log !== failed) return;
      const log = this.#createLog();
      this.#log = log;
      log.start().then(
        () => {
          logger.info({ event: 'cluster-state-reopened', term: log.term });
        },
        (error: unknown) => {
          logger.error({ event: 'cluster-state-not-reopened', error: messageOf(error) });
          this.#reopenLater(log);
        },
      );
    });
  }

  #send(envelope: Envelope): void {
    const address = this.#options.directory.get(hostOf(envelope))?.node.address;
    if (address !== undefined) this.#options.peers.cast(address, 'cluster.replicate', [envelope]);
  }

  /**
   * Hosts that are to hold the state: those that are there, and silent members as long as there
   * are not enough others. The one that may found the state names itself alone.
   */
  #desiredHosts(): readonly string[] {
    const { self, directory, founding, toleratedLosses } = this.#options;
    if (founding.granted && this.#log.term === 0) return [self.name];
    const keepers = directory.all().filter(({ node }) => node.keepsClusterState);
    if (this.#log.role !== 'leader') {
      return keepers.map(({ node }) => node.name).filter((name) => name !== self.name);
    }
    const members = allMembers(this.#log.membership).map(nameOf);
    const alive = directory
      .heardWithin(SILENCE_MILLISECONDS)
      .filter(({ node }) => node.keepsClusterState)
      .map(({ node }) => node.name)
      .sort((left, right) => Number(members.includes(right)) - Number(members.includes(left)));
    const others = alive.filter((name) => name !== self.name);
    const limit = viewSizeFor(toleratedLosses) + SPARE_VOTERS;
    const chosen = [self.name, ...others].slice(0, limit);
    if (chosen.length >= viewSizeFor(toleratedLosses)) return chosen;
    return [...new Set([...chosen, ...members])];
  }
}
