import { type RandomSource, SeededRandom } from '../../src/core';
import type { PromptPart } from '../../src/targets';
import type { SimulatedClock } from './simulated-clock';
import type { EngineParameters } from './engine';
import type { Fleet } from './fleet';
import type { SimulatedTeam } from './teams';

export interface ProgramKind {
  readonly name: string;
  readonly turns: number;
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Tokens of the prompt prefix that programs share. */
  readonly sharedTokens: number;
  /** Mean of the new input tokens of a turn. */
  readonly inputTokens: number;
  readonly outputTokens: number;
  /** Mean time between the end of a turn and the start of the next. */
  readonly pauseMilliseconds: number;
  /** Time objective as a multiple of the duration on idle engines. */
  readonly objectiveFactor: number;
}

export const REFERENCE_KINDS: readonly ProgramKind[] = [
  {
    ...{ name: 'assist', turns: 4, sharedTokens: 2560, inputTokens: 1030, outputTokens: 35 },
    ...{ pauseMilliseconds: 350, objectiveFactor: 1.6, priority: 0 },
  },
  {
    ...{ name: 'rebook', turns: 11, sharedTokens: 2560, inputTokens: 514, outputTokens: 35 },
    ...{ pauseMilliseconds: 350, objectiveFactor: 1.6, priority: 1 },
  },
];

const SHARED_PREFIXES_PER_KIND = 3;

/** Refusals after which a caller abandons its program. */
const MAX_REFUSALS = 4;

/** Time added to the objective of every program. */
const OBJECTIVE_ALLOWANCE_MILLISECONDS = 200;

/** Counts of programs by outcome, and percentiles of their durations. */
export interface ProgramTally {
  readonly started: number;
  /** Programs that met their objective. */
  readonly onTime: number;
  readonly late: number;
  /** Late programs that took at most twice their objective. */
  readonly nearlyOnTime: number;
  /** Programs that were abandoned, or still running at the end of the simulation. */
  readonly unfinished: number;
  /** Duration of a completed program as a multiple of its objective. */
  readonly p50: number;
  readonly p99: number;
}

export interface WorkloadOptions {
  readonly clock: SimulatedClock;
  readonly fleet: Fleet;
  readonly engineParameters: EngineParameters;
  readonly kinds: readonly ProgramKind[];
  readonly seed: number;
}

/** Programs that a tally is restricted to. */
export interface TallyFilter {
  readonly from: number;
  readonly until: number;
  readonly includes: (team: SimulatedTeam | undefined) => boolean;
}

const ALL_PROGRAMS: TallyFilter = { from: 0, until: Infinity, includes: () => true };

interface ProgramRecord {
  readonly team: SimulatedTeam | undefined;
  readonly startedAt: number;
  /** Duration as a multiple of the objective; undefined until the program completes. */
  relativeDuration: number | undefined;
}

/** Starts programs and records their durations. */
export class Workload {
  readonly #options: WorkloadOptions;
  readonly #random: RandomSource;
  readonly #records: ProgramRecord[] = [];

  constructor(options: WorkloadOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
  }

  /** Starts a program; one in five is of the last kind, the others are of the first. */
  startProgram(team?: SimulatedTeam): void {
    const { clock, kinds } = this.#options;
    const kind = kinds[this.#random.fraction() < 0.2 ? kinds.length - 1 : 0];
    if (kind === undefined) return;
    const startedAt = clock.now();
    const record: ProgramRecord = { team, startedAt, relativeDuration: undefined };
    this.#records.push(record);
    const context = { number: this.#records.length, team };
    const program = new Program(kind, context, this.#random, this.#options);
    program.run(() => {
      record.relativeDuration = (clock.now() - startedAt) / program.objectiveMilliseconds;
    });
  }

  /** Starts programs from now until `until`, in milliseconds, as a Poisson process of the given rate. */
  startAtRate(
    until: number,
    programsPerSecond: (now: number) => number,
    team?: SimulatedTeam,
  ): void {
    const { clock } = this.#options;
    if (clock.now() >= until) return;
    const delayMilliseconds =
      (-Math.log(1 - this.#random.fraction()) * 1000) / programsPerSecond(clock.now());
    clock.after(delayMilliseconds, () => {
      this.startProgram(team);
      this.startAtRate(until, programsPerSecond, team);
    });
  }

  tally({ from, until, includes }: TallyFilter = ALL_PROGRAMS): ProgramTally {
    const records = this.#records.filter(
      ({ team, startedAt }) => startedAt >= from && startedAt < until && includes(team),
    );
    const sorted = records
      .flatMap(({ relativeDuration }) => relativeDuration ?? [])
      .sort((left, right) => left - right);
    const quantile = (share: number) => sorted[Math.floor(sorted.length * share)] ?? 0;
    const onTime = sorted.filter((time) => time <= 1).length;
    return {
      started: records.length,
      onTime,
      late: sorted.length - onTime,
      nearlyOnTime: sorted.filter((time) => time > 1 && time <= 2).length,
      unfinished: records.length - sorted.length,
      p50: quantile(0.5),
      p99: quantile(0.99),
    };
  }
}

interface ProgramContext {
  readonly number: number;
  readonly team: SimulatedTeam | undefined;
}

/** One program: consecutive turns, each with the whole conversation as its prompt. */
class Program {
  readonly objectiveMilliseconds: number;
  readonly #options: WorkloadOptions;
  readonly #kind: ProgramKind;
  readonly #shared: PromptPart;
  readonly #inputs: readonly number[];
  readonly #pausesInMilliseconds: readonly number[];
  readonly #ownPartId: string;
  readonly #team: SimulatedTeam | undefined;
  #refusals = 0;

  constructor(
    kind: ProgramKind,
    { number, team }: ProgramContext,
    random: RandomSource,
    options: WorkloadOptions,
  ) {
    this.#options = options;
    this.#kind = kind;
    this.#team = team;
    this.#ownPartId = `own-${number}`;
    const shared = Math.floor(random.fraction() * SHARED_PREFIXES_PER_KIND);
    this.#shared = { id: `${kind.name}-${shared}`, tokens: kind.sharedTokens };
    const turns = Math.max(1, Math.round(kind.turns * (0.5 + random.fraction())));
    const varyAround = (mean: number) => Math.round(mean * (0.3 + 1.4 * random.fraction()));
    this.#inputs = Array.from({ length: turns }, () => varyAround(kind.inputTokens));
    this.#pausesInMilliseconds = Array.from({ length: turns }, () =>
      varyAround(kind.pauseMilliseconds),
    );
    this.objectiveMilliseconds =
      this.#unloadedMilliseconds(options.engineParameters) * kind.objectiveFactor +
      OBJECTIVE_ALLOWANCE_MILLISECONDS;
  }

  run(onEnd: () => void): void {
    this.#turn(0, this.#shared.tokens, undefined, onEnd);
  }

  #turn(
    index: number,
    cachedTokens: number,
    lastTarget: string | undefined,
    onEnd: () => void,
  ): void {
    const { clock, fleet } = this.#options;
    const input = this.#inputs[index];
    if (input === undefined) {
      onEnd();
      return;
    }
    const { outputTokens } = this.#kind;
    const ownTokens = cachedTokens - this.#shared.tokens + input;
    fleet.send({
      parts: [this.#shared, { id: this.#ownPartId, tokens: ownTokens }],
      lastTarget,
      cachedTokens,
      outputTokens,
      startsProgram: index === 0,
      team: this.#team,
      routePriority: this.#kind.priority,
      onRefused: (retryAfterMilliseconds) => {
        this.#refusals += 1;
        if (this.#refusals === MAX_REFUSALS) return;
        clock.after(retryAfterMilliseconds, () => {
          this.#turn(index, cachedTokens, lastTarget, onEnd);
        });
      },
      onEnd: (target) => {
        clock.after(this.#pausesInMilliseconds[index] ?? 0, () => {
          this.#turn(index + 1, cachedTokens + input + outputTokens, target, onEnd);
        });
      },
    });
  }

  /** Duration on idle engines that have the conversation so far in their caches. */
  #unloadedMilliseconds({
    stepMilliseconds,
    stepMillisecondsPerRequest,
    prefillTokensPerMillisecond,
  }: EngineParameters): number {
    const step = stepMilliseconds + stepMillisecondsPerRequest;
    return this.#inputs.reduce((sum, input, index) => {
      const prefillMilliseconds = input / prefillTokensPerMillisecond;
      return (
        sum +
        prefillMilliseconds +
        this.#kind.outputTokens * step +
        (this.#pausesInMilliseconds[index] ?? 0)
      );
    }, 0);
  }
}
