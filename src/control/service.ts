import type { Clock, Logger } from '../core';
import type {
  ControlApi,
  ControlClient,
  Delivered,
  EntryLife,
  FoundProgram,
  GroupEnvelopes,
  GroupSummary,
  Heartbeat,
  InForce,
  KnownTerm,
  NotLeader,
  Noted,
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
  type ConfigurationStateMachine,
  type CreateProgram,
  type Created,
  type EndProgram,
  type Ended,
  type Refused,
  type ResolveStep,
  groupOfProgram,
} from '../state';
import { CHANGE_KEYS, type Notifier } from './notifier';
import type { OfferedOrders } from './offered-orders';
import { type ProgramService, unknownProgram } from './program-service';
import { redirect } from './redirect';
import type { NodeRegistry } from './registry';
import { gatherStatus } from './status';

export interface ControlServiceOptions {
  readonly self: string;
  /** The group of the configuration. */
  readonly log: ReplicatedLog<AcceptOutcome>;
  readonly machine: ConfigurationStateMachine;
  /** Groups of programs that this host is a member of, by name. */
  readonly programs: ReadonlyMap<string, ProgramService>;
  /** Names of the groups of all regions. */
  readonly groupNames: readonly string[];
  /** Takes replication messages, and resolves with the answers. */
  readonly exchange: (
    group: string,
    envelopes: readonly Envelope[],
  ) => Promise<readonly Envelope[]>;
  readonly client: ControlClient;
  readonly registry: NodeRegistry;
  readonly orders: OfferedOrders;
  readonly notifier: Notifier;
  readonly clock: Clock;
  readonly logger: Logger;
}

const NOTED: Noted = { outcome: 'noted' };

/** Longest wait for a group that is told which orders were carried out; milliseconds. */
const SETTLE_MILLISECONDS = 2000;

/**
 * What a control host offers. Programs are served by the leaders of their groups; processes,
 * orders to targets and the configuration itself by the leader of the configuration.
 */
export class ControlService implements ControlApi {
  readonly #options: ControlServiceOptions;

  constructor(options: ControlServiceOptions) {
    this.#options = options;
  }

  async createProgram(input: CreateProgram): Promise<Created | Refused | NotLeader> {
    return this.#inGroupOf(input.id, (service) => service.createProgram(input));
  }

  async getProgram(id: string, team: string): Promise<FoundProgram | Refused | NotLeader> {
    return this.#inGroupOf(id, (service) => service.getProgram(id, team));
  }

  async endProgram(input: EndProgram, team: string): Promise<Ended | Refused | NotLeader> {
    return this.#inGroupOf(input.program, (service) => service.endProgram(input, team));
  }

  async beginStep(input: BeginStep, waitMilliseconds: number): Promise<BeginOutcome | NotLeader> {
    return this.#inGroupOf(input.program, (service) => service.beginStep(input, waitMilliseconds));
  }

  async completeStep(input: CompleteStep): Promise<CompleteOutcome | NotLeader> {
    const service = this.#serviceOf(input.program);
    return service?.completeStep(input) ?? UNKNOWN_LEADER;
  }

  async abandonStep(input: AbandonStep): Promise<Noted | NotLeader> {
    return this.#serviceOf(input.program)?.abandonStep(input) ?? UNKNOWN_LEADER;
  }

  async resolveStep(input: ResolveStep): Promise<Noted | NotLeader> {
    return this.#serviceOf(input.program)?.resolveStep(input) ?? UNKNOWN_LEADER;
  }

  async settleOrders(group: string, orders: readonly string[]): Promise<Noted | NotLeader> {
    return this.#options.programs.get(group)?.settleOrders(orders) ?? UNKNOWN_LEADER;
  }

  summary(group: string): GroupSummary | NotLeader {
    return this.#options.programs.get(group)?.summary() ?? UNKNOWN_LEADER;
  }

  knownTerm(): KnownTerm {
    return { outcome: 'term', term: this.#options.log.term };
  }

  heartbeat(input: Heartbeat): Noted | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { registry, clock, notifier } = this.#options;
    if (registry.hear(input, clock.monotonic())) notifier.notify(CHANGE_KEYS.directory);
    return NOTED;
  }

  entryLife(identity: string): EntryLife | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { registry, clock } = this.#options;
    return { outcome: 'entry-life', dead: registry.entryIsDead(identity, clock.monotonic()) };
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
    const seen = directory?.epoch === epoch ? directory.version : 0;
    const changed =
      directory !== undefined && (directory.epoch !== epoch || registry.version > seen);
    return {
      outcome: 'changes',
      term: epoch,
      configuration: machine.changesSince(configurationNumber),
      directory: changed
        ? { epoch, version: registry.version, targets: registry.targetsSince(seen) }
        : undefined,
      orders: orders.forTarget(target),
    };
  }

  offerOrders(offer: OrderOffer): Noted | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { orders, notifier } = this.#options;
    for (const target of orders.take(offer)) notifier.notify(CHANGE_KEYS.orders(target));
    return NOTED;
  }

  async confirmOrders(ids: readonly string[]): Promise<Noted | NotLeader> {
    if (!this.#serves) return this.#notLeader;
    const { orders, client } = this.#options;
    const settled = [...orders.settle(ids)].map(([group, done]) =>
      client.call(
        (connection, signal) =>
          connection.groups.settleOrders.mutate({ group, orders: [...done] }, { signal }),
        { group, deadlineMilliseconds: SETTLE_MILLISECONDS },
      ),
    );
    // A group that can't be told offers its orders again, and they are carried out once more.
    await Promise.allSettled(settled);
    return NOTED;
  }

  async applyConfiguration(input: AcceptConfiguration): Promise<AcceptOutcome | NotLeader> {
    if (!this.#serves) return this.#notLeader;
    try {
      const outcome = await this.#options.log.propose(JSON.stringify(input));
      const { outcome: result, number, digest } = outcome;
      this.#options.logger.info({ event: 'configuration', result, number, digest });
      return outcome;
    } catch (error) {
      if (error instanceof ReplicationError) return this.#notLeader;
      throw error;
    }
  }

  configurationInForce(): InForce | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { accepted } = this.#options.machine;
    if (accepted === undefined) return { outcome: 'in-force', configuration: undefined };
    const { number, digest } = accepted.configuration;
    const files = accepted.files.map(({ name, text }) => ({ name, text }));
    return { outcome: 'in-force', configuration: { number, digest, files } };
  }

  async status(): Promise<Status | NotLeader> {
    if (!this.#serves) return this.#notLeader;
    return gatherStatus(this.#options);
  }

  async deliver(batches: readonly GroupEnvelopes[]): Promise<Delivered> {
    const answers = batches.map(async ({ group, envelopes }) => ({
      group,
      envelopes: await this.#options.exchange(group, envelopes),
    }));
    return { answers: await Promise.all(answers) };
  }

  #serviceOf(program: string): ProgramService | undefined {
    return this.#options.programs.get(groupOfProgram(program) ?? '');
  }

  /** Runs something at this host's part of a program's group; an id of no group is unknown. */
  async #inGroupOf<T>(
    program: string,
    run: (service: ProgramService) => Promise<T> | T,
  ): Promise<T | Refused | NotLeader> {
    const group = groupOfProgram(program);
    if (group === undefined || !this.#options.groupNames.includes(group)) {
      return unknownProgram(program);
    }
    const service = this.#options.programs.get(group);
    return service === undefined ? UNKNOWN_LEADER : run(service);
  }

  get #serves(): boolean {
    return this.#options.log.serves;
  }

  get #notLeader(): NotLeader {
    const { self, log } = this.#options;
    return redirect(self, log);
  }
}

/** This host is no member of the group that is asked for. */
const UNKNOWN_LEADER: NotLeader = { outcome: 'not-leader' };
