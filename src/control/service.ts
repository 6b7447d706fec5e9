import type { Clock, Logger, Metrics } from '../core';
import type {
  ControlApi,
  Delivered,
  FoundProgram,
  Heartbeat,
  InForce,
  NotLeader,
  Noted,
  Status,
  Watch,
  WatchChanges,
} from '../protocol';
import { type Envelope, type ReplicatedLog, ReplicationError, nameOf } from '../replication';
import {
  type AbandonStep,
  type AcceptConfiguration,
  type AcceptOutcome,
  type BeginOutcome,
  type BeginStep,
  type Command,
  type CommandResult,
  type CommandResults,
  type CompleteOutcome,
  type CompleteStep,
  type CreateProgram,
  type Created,
  type EndProgram,
  type Ended,
  type ProgramStateMachine,
  type Refused,
  type ResolveStep,
  evaluateBegin,
  sequenceOf,
  viewProgram,
} from '../state';
import type { Notifier } from './notifier';
import type { NodeRegistry } from './registry';
import { buildStatus } from './status';

export interface ControlServiceOptions {
  readonly self: string;
  readonly log: ReplicatedLog<CommandResult>;
  readonly machine: ProgramStateMachine;
  readonly registry: NodeRegistry;
  readonly notifier: Notifier;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Keys that calls wait for. */
export const CHANGE_KEYS = {
  configuration: 'configuration',
  directory: 'directory',
  program: (id: string) => `program ${id}`,
  orders: (target: string) => `orders ${target}`,
} as const;

/** How often a waiting step looks whether the entry that runs it has died; milliseconds. */
const DEATH_CHECK_MILLISECONDS = 250;

const NOTED: Noted = { outcome: 'noted' };

/** What a control host does for entries, sidecars and operators. Only the leader serves. */
export class ControlService implements ControlApi {
  readonly #options: ControlServiceOptions;

  constructor(options: ControlServiceOptions) {
    this.#options = options;
  }

  createProgram(input: CreateProgram): Promise<Created | Refused | NotLeader> {
    return this.#propose({ kind: 'create-program', at: this.#at, input });
  }

  getProgram(id: string, team: string): FoundProgram | Refused | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { tables } = this.#options.machine;
    const program = tables.programs.get(id);
    if (program?.team !== team) return unknownProgram(id);
    return { outcome: 'found', program: viewProgram(program, tables.spendingOf(program)) };
  }

  async endProgram(input: EndProgram, team: string): Promise<Ended | Refused | NotLeader> {
    const found = this.getProgram(input.program, team);
    if (found.outcome !== 'found') return found;
    return this.#propose({ kind: 'end-program', at: this.#at, input });
  }

  async beginStep(input: BeginStep, waitMilliseconds: number): Promise<BeginOutcome | NotLeader> {
    const { clock, notifier } = this.#options;
    const deadline = clock.monotonic() + waitMilliseconds;
    for (;;) {
      const outcome = await this.#tryBegin(input);
      const remaining = deadline - clock.monotonic();
      if (outcome.outcome !== 'wait' || remaining <= 0) return outcome;
      const wait = Math.min(remaining, DEATH_CHECK_MILLISECONDS);
      await notifier.wait([CHANGE_KEYS.program(input.program)], wait);
    }
  }

  async #tryBegin(input: BeginStep): Promise<BeginOutcome | NotLeader> {
    if (!this.#serves) return this.#notLeader;
    const displaces = this.#deadAttempt(input);
    if (input.create === undefined) {
      const outcome = evaluateBegin(this.#options.machine.tables, input, displaces);
      if (outcome.outcome !== 'run') return outcome;
    }
    const command = { kind: 'begin-step', at: this.#at, input } as const;
    return this.#propose(displaces === undefined ? command : { ...command, displaces });
  }

  /** The running attempt of this step, if the entry that works on it is dead. */
  #deadAttempt(input: BeginStep): string | undefined {
    const program = this.#options.machine.tables.programs.get(input.program);
    const step = program?.steps.get(sequenceOf(program, input));
    if (step?.state !== 'running') return undefined;
    const dead = this.#options.registry.entryIsDead(step.entry, this.#options.clock.monotonic());
    return dead ? step.attempt : undefined;
  }

  completeStep(input: CompleteStep): Promise<CompleteOutcome | NotLeader> {
    return this.#propose({ kind: 'complete-step', at: this.#at, input });
  }

  abandonStep(input: AbandonStep): Promise<Noted | NotLeader> {
    return this.#note({ kind: 'abandon-step', at: this.#at, input });
  }

  resolveStep(input: ResolveStep): Promise<Noted | NotLeader> {
    return this.#note({ kind: 'resolve-step', at: this.#at, input });
  }

  heartbeat(input: Heartbeat): Noted | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { registry, clock, notifier } = this.#options;
    if (registry.hear(input, clock.monotonic())) notifier.notify(CHANGE_KEYS.directory);
    return NOTED;
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

  #changesFor(input: Watch): WatchChanges {
    const { log, machine, registry } = this.#options;
    const { accepted, orders } = machine.tables;
    const newer =
      accepted !== undefined && accepted.configuration.number > input.configurationNumber;
    const { directory } = input;
    const epoch = log.term;
    const seen = directory?.epoch === epoch ? directory.version : 0;
    const changed =
      directory !== undefined && (directory.epoch !== epoch || registry.version > seen);
    return {
      outcome: 'changes',
      term: log.term,
      configuration: newer
        ? {
            number: accepted.configuration.number,
            digest: accepted.configuration.digest,
            files: accepted.files,
          }
        : undefined,
      directory: changed
        ? { epoch, version: registry.version, targets: registry.targetsSince(seen) }
        : undefined,
      orders: [...orders.values()].filter((order) => order.target === input.target),
    };
  }

  confirmOrders(orders: readonly string[]): Promise<Noted | NotLeader> {
    return this.#note({ kind: 'confirm-orders', at: this.#at, orders });
  }

  async applyConfiguration(input: AcceptConfiguration): Promise<AcceptOutcome | NotLeader> {
    const outcome = await this.#propose({ kind: 'accept-configuration', at: this.#at, input });
    if (outcome.outcome !== 'not-leader') {
      const { outcome: result, number, digest } = outcome;
      this.#options.logger.info({ event: 'configuration', result, number, digest });
    }
    return outcome;
  }

  configurationInForce(): InForce | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { accepted } = this.#options.machine.tables;
    if (accepted === undefined) return { outcome: 'in-force', configuration: undefined };
    const { number, digest } = accepted.configuration;
    return { outcome: 'in-force', configuration: { number, digest, files: accepted.files } };
  }

  status(): Status | NotLeader {
    if (!this.#serves) return this.#notLeader;
    const { self, log, machine, registry, clock } = this.#options;
    return buildStatus({
      leader: self,
      term: log.term,
      appliedIndex: log.appliedIndex,
      membership: log.membership,
      silent: log.silentMembers,
      nodes: registry.nodes(clock.monotonic()),
      tables: machine.tables,
    });
  }

  async deliver(envelopes: readonly Envelope[]): Promise<Delivered> {
    return { answers: await this.#options.log.exchange(envelopes) };
  }

  get #serves(): boolean {
    return this.#options.log.serves;
  }

  get #at(): number {
    return this.#options.clock.now();
  }

  get #notLeader(): NotLeader {
    const { self, log } = this.#options;
    const leader = log.leader === undefined ? undefined : nameOf(log.leader);
    return { outcome: 'not-leader', leader: leader === self ? undefined : leader };
  }

  async #note(command: Command): Promise<Noted | NotLeader> {
    const result = await this.#propose(command);
    return result.outcome === 'not-leader' ? result : NOTED;
  }

  /** Commits a command; an uncertain one counts as not led, and the caller repeats it. */
  async #propose<K extends Command['kind']>(
    command: Extract<Command, { kind: K }>,
  ): Promise<CommandResults[K] | NotLeader> {
    if (!this.#serves) return this.#notLeader;
    const started = this.#options.clock.monotonic();
    try {
      const result = await this.#options.log.propose(JSON.stringify(command));
      this.#options.metrics.observe('commit', this.#options.clock.monotonic() - started);
      return result as CommandResults[K];
    } catch (error) {
      if (error instanceof ReplicationError) return this.#notLeader;
      throw error;
    }
  }
}

function unknownProgram(id: string): Refused {
  return { outcome: 'refused', code: 'unknown-program', message: `no program "${id}"` };
}
