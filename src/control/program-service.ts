import type { Clock, Metrics } from '../core';
import type { FoundProgram, GroupSummary, NotLeader, Noted } from '../protocol';
import { ReplicationError } from '../replication';
import {
  type AbandonStep,
  type BeginDecision,
  type BeginOutcome,
  type BeginStep,
  type Command,
  type CommandResults,
  type CompleteDecision,
  type CompleteOutcome,
  type CompleteStep,
  type ConfigurationStateMachine,
  type CreateProgram,
  type Created,
  type EndProgram,
  type Ended,
  type KindInForce,
  type Refused,
  type ResolveStep,
  contentsOf,
  evaluateBegin,
  fillBegin,
  fillComplete,
  resolveKind,
  sequenceOf,
  viewProgram,
} from '../state';
import type { ProgramGroupMember } from './group';
import type { EntryLiveness } from './liveness';
import { CHANGE_KEYS, type Notifier } from './notifier';
import { redirect } from './redirect';
import { describeGroup, describeTeams } from './status';

export interface ProgramServiceOptions {
  /** Name of this host. */
  readonly self: string;
  readonly group: ProgramGroupMember;
  readonly configuration: ConfigurationStateMachine;
  readonly liveness: EntryLiveness;
  readonly notifier: Notifier;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** How often a waiting step looks whether the entry that runs it has died; milliseconds. */
const DEATH_CHECK_MILLISECONDS = 250;

/** Longest wait until this host has the configuration that an asker has; milliseconds. */
const CONFIGURATION_MILLISECONDS = 1000;

/** What a control host does for the programs of one group. Only the group's leader serves. */
export class ProgramService {
  readonly #options: ProgramServiceOptions;

  constructor(options: ProgramServiceOptions) {
    this.#options = options;
  }

  async createProgram(input: CreateProgram): Promise<Created | Refused | NotLeader> {
    if (!this.#isServing()) return this.notLeader;
    const kindInForce = await this.#kindOf(input);
    if (kindInForce.outcome !== 'kind') return kindInForce;
    return this.#propose({ kind: 'create-program', at: this.#at, input, kindInForce });
  }

  getProgram(id: string, team: string): FoundProgram | Refused | NotLeader {
    if (!this.#isServing()) return this.notLeader;
    const { tables } = this.#options.group.machine;
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
      const decision = await this.#tryBegin(input);
      const remaining = deadline - clock.monotonic();
      if (decision.outcome === 'not-leader') return decision;
      if (decision.outcome !== 'wait' || remaining <= 0) {
        return fillBegin(decision, await this.#textsOf(decision));
      }
      const wait = Math.min(remaining, DEATH_CHECK_MILLISECONDS);
      await notifier.wait([CHANGE_KEYS.program(input.program)], wait);
    }
  }

  async completeStep(input: CompleteStep): Promise<CompleteOutcome | NotLeader> {
    const decision = await this.#propose({ kind: 'complete-step', at: this.#at, input });
    if (decision.outcome === 'not-leader') return decision;
    return fillComplete(decision, await this.#textsOf(decision));
  }

  abandonStep(input: AbandonStep): Promise<Noted | NotLeader> {
    return this.#note({ kind: 'abandon-step', at: this.#at, input });
  }

  resolveStep(input: ResolveStep): Promise<Noted | NotLeader> {
    return this.#note({ kind: 'resolve-step', at: this.#at, input });
  }

  settleOrders(orders: readonly string[]): Promise<Noted | NotLeader> {
    return this.#note({ kind: 'confirm-orders', at: this.#at, orders });
  }

  summary(): GroupSummary | NotLeader {
    if (!this.#isServing()) return this.notLeader;
    const { self, group } = this.#options;
    const teams = describeTeams(group.machine.tables);
    return { outcome: 'summary', group: describeGroup(group.name, self, group.log), teams };
  }

  /** Names the leader, if another host is known to be it. */
  get notLeader(): NotLeader {
    const { self, group } = this.#options;
    return redirect(self, group.log);
  }

  #textsOf(decision: BeginDecision | CompleteDecision): Promise<readonly string[]> {
    const { contents } = this.#options.group;
    return Promise.all(contentsOf(decision).map((handle) => contents.get(handle)));
  }

  async #tryBegin(input: BeginStep): Promise<BeginDecision | NotLeader> {
    if (!this.#isServing()) return this.notLeader;
    const displaces = await this.#deadAttempt(input);
    if (!this.#isServing()) return this.notLeader;
    const command = { kind: 'begin-step', at: this.#at, input, displaces } as const;
    if (input.create === undefined) {
      const { tables } = this.#options.group.machine;
      const outcome = evaluateBegin(tables, input, displaces);
      return outcome.outcome === 'run' ? this.#propose(command) : outcome;
    }
    const kindInForce = await this.#kindOf(input.create);
    if (kindInForce.outcome !== 'kind') return kindInForce;
    return this.#propose({ ...command, kindInForce });
  }

  /** The running attempt of this step, if the entry that works on it is dead. */
  async #deadAttempt(input: BeginStep): Promise<string | undefined> {
    const { group, liveness } = this.#options;
    const program = group.machine.tables.programs.get(input.program);
    const step = program?.steps.get(sequenceOf(program, input));
    if (step?.state !== 'running' || step.attempt === input.attempt) return undefined;
    return (await liveness.isDead(step.entry)) ? step.attempt : undefined;
  }

  /** The kind in force, once this host has the configuration that the asker has. */
  async #kindOf(input: CreateProgram): Promise<KindInForce | Refused | NotLeader> {
    const { configuration, clock, notifier } = this.#options;
    const deadline = clock.monotonic() + CONFIGURATION_MILLISECONDS;
    while (configuration.number < input.configurationNumber) {
      const remaining = deadline - clock.monotonic();
      if (remaining <= 0) return { outcome: 'not-leader' };
      await notifier.wait([CHANGE_KEYS.configuration], remaining);
    }
    return resolveKind(configuration.accepted?.configuration, input);
  }

  #isServing(): boolean {
    return this.#options.group.log.serves;
  }

  get #at(): number {
    return this.#options.clock.now();
  }

  async #note(command: Command): Promise<Noted | NotLeader> {
    const result = await this.#propose(command);
    return result.outcome === 'not-leader' ? result : { outcome: 'noted' };
  }

  /** Commits a command; an uncertain one counts as not led, and the caller repeats it. */
  async #propose<K extends Command['kind']>(
    command: Extract<Command, { kind: K }>,
  ): Promise<CommandResults[K] | NotLeader> {
    if (!this.#isServing()) return this.notLeader;
    const { group, clock, metrics } = this.#options;
    const started = clock.monotonic();
    try {
      const result = await group.log.propose(JSON.stringify(command));
      metrics.observe('commit', clock.monotonic() - started);
      return result as CommandResults[K];
    } catch (error) {
      if (error instanceof ReplicationError) return this.notLeader;
      throw error;
    }
  }
}

/** Refuses a program that does not exist, or that is another team's. */
export function unknownProgram(id: string): Refused {
  return { outcome: 'refused', code: 'unknown-program', message: `no program "${id}"` };
}
