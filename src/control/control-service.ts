import type { Clock, Logger } from '../core';
import type {
  ControlApi,
  ControlClient,
  DeliveryResult,
  EntryLivenessResult,
  FoundProgram,
  GroupEnvelopes,
  GroupSummary,
  Heartbeat,
  ActiveConfigurationResult,
  KnownTerm,
  NotLeader,
  Acknowledgement,
  OrderOffer,
  Status,
  Watch,
  WatchChanges,
} from '../protocol';
import { type Envelope, type ReplicatedLog, ReplicationError } from '../replication';
import {
  type AbandonStep,
  type AcceptConfiguration,
  type AcceptOutcome,
  type BeginOutcome,
  type BeginStep,
  type CompleteOutcome,
  type CompleteStep,
  type ConfigurationResult,
  type ConfigurationStateMachine,
  type CreateProgram,
  type Created,
  type EndProgram,
  type Ended,
  type Refused,
  type ResolveStep,
  groupOfProgram,
} from '../state';
import { CHANGE_KEYS, type ChangeNotifier } from './change-notifier';
import type { PendingOrders } from './pending-orders';
import { type ProgramService, unknownProgram } from './program-service';
import { notLeaderOutcome } from './not-leader';
import type { NodeRegistry } from './node-registry';
import { collectStatus } from './status';

export interface ControlServiceOptions {
  readonly self: string;
  /** Log of the configuration group. */
  readonly log: ReplicatedLog<ConfigurationResult>;
  readonly machine: ConfigurationStateMachine;
  /** Services of the program groups that this host is a member of, by group name. */
  readonly programs: ReadonlyMap<string, ProgramService>;
  /** Names of all program groups, including those that this host is no member of. */
  readonly groupNames: readonly string[];
  /** Delivers replication messages to a group's log, and resolves with the replies. */
  readonly exchange: (
    group: string,
    envelopes: readonly Envelope[],
  ) => Promise<readonly Envelope[]>;
  readonly client: ControlClient;
  readonly registry: NodeRegistry;
  readonly orders: PendingOrders;
  readonly notifier: ChangeNotifier;
  readonly clock: Clock;
  readonly logger: Logger;
}

const ACKNOWLEDGED: Acknowledgement = { outcome: 'noted' };

/** Timeout of a call that reports confirmed orders to their group. */
const SETTLE_TIMEOUT_MILLISECONDS = 2000;

/**
 * API of a control host. Calls that concern a program are served by the leader of its group; those
 * that concern processes, orders to targets and the configuration by the leader of the
 * configuration group. Other members return `not-leader`.
 */
export class ControlService implements ControlApi {
  readonly #options: ControlServiceOptions;

  constructor(options: ControlServiceOptions) {
    this.#options = options;
  }

  async createProgram(input: CreateProgram): Promise<Created | Refused | NotLeader> {
    return this.#withServiceOf(input.id, (service) => service.createProgram(input));
  }

  async getProgram(id: string, team: string): Promise<FoundProgram | Refused | NotLeader> {
    return this.#withServiceOf(id, (service) => service.getProgram(id, team));
  }

  async endProgram(input: EndProgram, team: string): Promise<Ended | Refused | NotLeader> {
    return this.#withServiceOf(input.program, (service) => service.endProgram(input, team));
  }

  async beginStep(input: BeginStep, waitMilliseconds: number): Promise<BeginOutcome | NotLeader> {
    return this.#withServiceOf(input.program, (service) =>
      service.beginStep(input, waitMilliseconds),
    );
  }

  async completeStep(input: CompleteStep): Promise<CompleteOutcome | NotLeader> {
    const service = this.#serviceOf(input.program);
    return service?.completeStep(input) ?? NOT_A_MEMBER;
  }

  async abandonStep(input: AbandonStep): Promise<Acknowledgement | NotLeader> {
    return this.#serviceOf(input.program)?.abandonStep(input) ?? NOT_A_MEMBER;
  }

  async resolveStep(input: ResolveStep): Promise<Acknowledgement | NotLeader> {
    return this.#serviceOf(input.program)?.resolveStep(input) ?? NOT_A_MEMBER;
  }

  async settleOrders(
    group: string,
    orders: readonly string[],
  ): Promise<Acknowledgement | NotLeader> {
    return this.#options.programs.get(group)?.settleOrders(orders) ?? NOT_A_MEMBER;
  }

  summary(group: string): GroupSummary | NotLeader {
    return this.#options.programs.get(group)?.summary() ?? NOT_A_MEMBER;
  }

  knownTerm(): KnownTerm {
    return { outcome: 'term', term: this.#options.log.term };
  }

  heartbeat(input: Heartbeat): Acknowledgement | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { registry, clock, notifier } = this.#options;
    const changed = registry.recordHeartbeat(input, clock.monotonic(), clock.now());
    if (changed) notifier.notify(CHANGE_KEYS.directory);
    return ACKNOWLEDGED;
  }

  entryLiveness(identity: string): EntryLivenessResult | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { registry, clock } = this.#options;
    return { outcome: 'entry-life', dead: registry.isEntryDead(identity, clock.monotonic()) };
  }

  async watch(input: Watch): Promise<WatchChanges | NotLeader> {
    const { clock, notifier } = this.#options;
    const deadline = clock.monotonic() + input.waitMilliseconds;
    const keys: string[] = [CHANGE_KEYS.configuration];
    if (input.directory !== undefined) keys.push(CHANGE_KEYS.directory);
    if (input.target !== undefined) keys.push(CHANGE_KEYS.orders(input.target));
    for (;;) {
      if (!this.#serves) return this.#notLeader;
      const changes = this.#changesFor(input);
      const empty =
        changes.configuration === undefined &&
        changes.directory === undefined &&
        changes.orders.length === 0;
      const remaining = deadline - clock.monotonic();
      if (!empty || remaining <= 0) return changes;
      await notifier.wait(keys, remaining);
    }
  }

  #changesFor({ configurationNumber, directory, target }: Watch): WatchChanges {
    const { log, machine, registry, orders } = this.#options;
    const epoch = log.term;
    const seenVersion = directory?.epoch === epoch ? directory.version : 0;
    const changed =
      directory !== undefined && (directory.epoch !== epoch || registry.version > seenVersion);
    return {
      outcome: 'changes',
      term: epoch,
      configuration: machine.changesSince(configurationNumber),
      directory: changed
        ? { epoch, version: registry.version, targets: registry.targetsSince(seenVersion) }
        : undefined,
      orders: orders.forTarget(target),
    };
  }

  offerOrders(offer: OrderOffer): Acknowledgement | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { orders, notifier } = this.#options;
    for (const target of orders.replaceGroup(offer)) notifier.notify(CHANGE_KEYS.orders(target));
    return ACKNOWLEDGED;
  }

  async confirmOrders(ids: readonly string[]): Promise<Acknowledgement | NotLeader> {
    if (!this.#serves) return this.#notLeader;
    const { orders, client } = this.#options;
    const calls = [...orders.removeConfirmed(ids)].map(([group, orderIds]) =>
      client.call(
        (connection, signal) =>
          connection.groups.settleOrders.mutate({ group, orders: [...orderIds] }, { signal }),
        { group, deadlineMilliseconds: SETTLE_TIMEOUT_MILLISECONDS },
      ),
    );
    // If a call fails, the group offers its orders again and the targets carry them out once more.
    await Promise.allSettled(calls);
    return ACKNOWLEDGED;
  }

  async applyConfiguration(input: AcceptConfiguration): Promise<AcceptOutcome | NotLeader> {
    if (!this.#serves) return this.#notLeader;
    try {
      const outcome = await this.#options.log.propose(JSON.stringify(input));
      if (outcome.outcome === 'leaving-hosts-recorded')
        throw new Error(`Expected the outcome of a configuration, found "${outcome.outcome}"`);
      const { outcome: result, number, digest } = outcome;
      this.#options.logger.info({ event: 'configuration', result, number, digest });
      return outcome;
    } catch (error) {
      if (error instanceof ReplicationError) return this.#notLeader;
      throw error;
    }
  }

  configurationInForce(): ActiveConfigurationResult | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { accepted } = this.#options.machine;
    if (accepted === undefined) return { outcome: 'in-force', configuration: undefined };
    const { number, digest } = accepted.configuration;
    const files = accepted.files.map(({ name, text }) => ({ name, text }));
    return { outcome: 'in-force', configuration: { number, digest, files } };
  }

  async status(): Promise<Status | NotLeader> {
    if (!this.#serves) return this.#notLeader;
    return collectStatus(this.#options);
  }

  async deliver(batches: readonly GroupEnvelopes[]): Promise<DeliveryResult> {
    const answers = batches.map(async ({ group, envelopes }) => ({
      group,
      envelopes: await this.#options.exchange(group, envelopes),
    }));
    return { answers: await Promise.all(answers) };
  }

  #serviceOf(program: string): ProgramService | undefined {
    return this.#options.programs.get(groupOfProgram(program) ?? '');
  }

  /** Calls the service of a program's group; refuses an id that names no existing group. */
  async #withServiceOf<T>(
    program: string,
    run: (service: ProgramService) => Promise<T> | T,
  ): Promise<T | Refused | NotLeader> {
    const group = groupOfProgram(program);
    if (group === undefined || !this.#options.groupNames.includes(group)) {
      return unknownProgram(program);
    }
    const service = this.#options.programs.get(group);
    return service === undefined ? NOT_A_MEMBER : run(service);
  }

  get #serves(): boolean {
    return this.#options.log.serves;
  }

  get #notLeader(): NotLeader {
    const { self, log } = this.#options;
    return notLeaderOutcome(self, log);
  }
}

/** Returned for a group that this host is no member of, so that it knows no leader. */
const NOT_A_MEMBER: NotLeader = { outcome: 'not-leader' };
