import type { Clock, Metrics } from '../core';
import type { FoundProgram, GroupSummary, NotLeader, Acknowledgement } from '../protocol';
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
  type ResolvedKind,
  type Refused,
  type ResolveStep,
  contentHandlesOf,
  evaluateBegin,
  toBeginOutcome,
  toCompleteOutcome,
  resolveKind,
  sequenceOf,
  viewProgram,
} from '../state';
import type { ProgramGroupReplica } from './group-log';
import type { EntryLiveness } from './entry-liveness';
import { CHANGE_KEYS, type ChangeNotifier } from './change-notifier';
import { notLeaderOutcome } from './not-leader';
import { describeGroup, describeTeams } from './status';

export interface ProgramServiceOptions {
  /** Name of this host. */
  readonly self: string;
  readonly group: ProgramGroupReplica;
  readonly configuration: ConfigurationStateMachine;
  readonly liveness: EntryLiveness;
  readonly notifier: ChangeNotifier;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Interval at which a waiting step checks whether the entry that runs it is still live. */
const LIVENESS_CHECK_INTERVAL_MILLISECONDS = 250;

/** Timeout for this host to receive the configuration that the calling entry has. */
const CONFIGURATION_TIMEOUT_MILLISECONDS = 1000;

/** Operations on the programs of one group; other members than its leader return `not-leader`. */
export class ProgramService {
  readonly #options: ProgramServiceOptions;

  constructor(options: ProgramServiceOptions) {
    this.#options = options;
  }

  async createProgram(input: CreateProgram): Promise<Created | Refused | NotLeader> {
    if (!this.#serves()) return this.notLeader;
    const kindInForce = await this.#resolveKind(input);
    if (kindInForce.outcome !== 'kind') return kindInForce;
    return this.#propose({ kind: 'create-program', at: this.#now, input, kindInForce });
  }

  getProgram(id: string, team: string): FoundProgram | Refused | NotLeader {
    if (!this.#serves()) return this.notLeader;
    const { tables } = this.#options.group.machine;
    const program = tables.programs.get(id);
    if (program?.team !== team) return unknownProgram(id);
    return { outcome: 'found', program: viewProgram(program, tables.spendingOf(program)) };
  }

  async endProgram(input: EndProgram, team: string): Promise<Ended | Refused | NotLeader> {
    const found = this.getProgram(input.program, team);
    if (found.outcome !== 'found') return found;
    return this.#propose({ kind: 'end-program', at: this.#now, input });
  }

  async beginStep(input: BeginStep, waitMilliseconds: number): Promise<BeginOutcome | NotLeader> {
    const { clock, notifier } = this.#options;
    const deadline = clock.monotonic() + waitMilliseconds;
    for (;;) {
      const decision = await this.#tryBegin(input);
      const remaining = deadline - clock.monotonic();
      if (decision.outcome === 'not-leader') return decision;
      if (decision.outcome !== 'wait' || remaining <= 0) {
        return toBeginOutcome(decision, await this.#textsOf(decision));
      }
      const wait = Math.min(remaining, LIVENESS_CHECK_INTERVAL_MILLISECONDS);
      await notifier.wait([CHANGE_KEYS.program(input.program)], wait);
    }
  }

  async completeStep(input: CompleteStep): Promise<CompleteOutcome | NotLeader> {
    const decision = await this.#propose({ kind: 'complete-step', at: this.#now, input });
    if (decision.outcome === 'not-leader') return decision;
    return toCompleteOutcome(decision, await this.#textsOf(decision));
  }

  abandonStep(input: AbandonStep): Promise<Acknowledgement | NotLeader> {
    return this.#proposeUpdate({ kind: 'abandon-step', at: this.#now, input });
  }

  resolveStep(input: ResolveStep): Promise<Acknowledgement | NotLeader> {
    return this.#proposeUpdate({ kind: 'resolve-step', at: this.#now, input });
  }

  settleOrders(orders: readonly string[]): Promise<Acknowledgement | NotLeader> {
    return this.#proposeUpdate({ kind: 'confirm-orders', at: this.#now, orders });
  }

  summary(): GroupSummary | NotLeader {
    if (!this.#serves()) return this.notLeader;
    const { self, group } = this.#options;
    const teams = describeTeams(group.machine.tables);
    return { outcome: 'summary', group: describeGroup(group.name, self, group.log), teams };
  }

  get notLeader(): NotLeader {
    const { self, group } = this.#options;
    return notLeaderOutcome(self, group.log);
  }

  #textsOf(decision: BeginDecision | CompleteDecision): Promise<readonly string[]> {
    const { contents } = this.#options.group;
    return Promise.all(contentHandlesOf(decision).map((handle) => contents.get(handle)));
  }

  async #tryBegin(input: BeginStep): Promise<BeginDecision | NotLeader> {
    if (!this.#serves()) return this.notLeader;
    const displacedAttempt = await this.#findDisplacedAttempt(input);
    if (!this.#serves()) return this.notLeader;
    const command = {
      kind: 'begin-step',
      at: this.#now,
      input,
      displaces: displacedAttempt,
    } as const;
    if (input.create === undefined) {
      const { tables } = this.#options.group.machine;
      const outcome = evaluateBegin(tables, input, displacedAttempt);
      return outcome.outcome === 'run' ? this.#propose(command) : outcome;
    }
    const kindInForce = await this.#resolveKind(input.create);
    if (kindInForce.outcome !== 'kind') return kindInForce;
    return this.#propose({ ...command, kindInForce });
  }

  /** The running attempt of this step, if it is another one and its entry has ended. */
  async #findDisplacedAttempt(input: BeginStep): Promise<string | undefined> {
    const { group, liveness } = this.#options;
    const program = group.machine.tables.programs.get(input.program);
    const step = program?.steps.get(sequenceOf(program, input));
    if (step?.state !== 'running' || step.attempt === input.attempt) return undefined;
    return (await liveness.isDead(step.entry)) ? step.attempt : undefined;
  }

  /** Resolves the program kind once this host has the configuration that the calling entry has. */
  async #resolveKind(input: CreateProgram): Promise<ResolvedKind | Refused | NotLeader> {
    const { configuration, clock, notifier } = this.#options;
    const deadline = clock.monotonic() + CONFIGURATION_TIMEOUT_MILLISECONDS;
    while (configuration.number < input.configurationNumber) {
      const remaining = deadline - clock.monotonic();
      if (remaining <= 0) return { outcome: 'not-leader' };
      await notifier.wait([CHANGE_KEYS.configuration], remaining);
    }
    return resolveKind(configuration.accepted?.configuration, input);
  }

  #serves(): boolean {
    return this.#options.group.log.serves;
  }

  get #now(): number {
    return this.#options.clock.now();
  }

  async #proposeUpdate(command: Command): Promise<Acknowledgement | NotLeader> {
    const result = await this.#propose(command);
    return result.outcome === 'not-leader' ? result : { outcome: 'noted' };
  }

  /** Commits a command. If the commit is uncertain, returns `not-leader` and the caller retries. */
  async #propose<K extends Command['kind']>(
    command: Extract<Command, { kind: K }>,
  ): Promise<CommandResults[K] | NotLeader> {
    if (!this.#serves()) return this.notLeader;
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

/** Also returned for a program of another team. */
export function unknownProgram(id: string): Refused {
  return { outcome: 'refused', code: 'unknown-program', message: `no program "${id}"` };
}
