import { type RandomSource, SeededRandom } from '../../src/core';
import type { PromptPart } from '../../src/targets';
import type { SimulatedClock } from './simulated-clock';
import type { EngineParameters } from './engine';
import type { Fleet } from './fleet';

export interface ProgramKind {
  readonly name: string;
  readonly turns: number;
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
    ...{ pauseMilliseconds: 350, objectiveFactor: 1.6 },
  },
  {
    ...{ name: 'rebook', turns: 11, sharedTokens: 2560, inputTokens: 514, outputTokens: 35 },
    ...{ pauseMilliseconds: 350, objectiveFactor: 1.6 },
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

/** Starts programs and records their durations. */
export class Workload {
  readonly #options: WorkloadOptions;
  readonly #random: RandomSource;
  /** Duration of each completed program as a multiple of its objective. */
  readonly #relativeDurations: number[] = [];
  #startedCount = 0;

  constructor(options: WorkloadOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
  }

  /** Starts a program; one in five is of the last kind, the others are of the first. */
  startProgram(): void {
    const { clock, kinds } = this.#options;
    const kind = kinds[this.#random.fraction() < 0.2 ? kinds.length - 1 : 0];
    if (kind === undefined) return;
    this.#startedCount += 1;
    const program = new Program(kind, this.#startedCount, this.#random, this.#options);
    const startedAt = clock.now();
    program.run(() => {
      this.#relativeDurations.push((clock.now() - startedAt) / program.objectiveMilliseconds);
    });
  }

  /** Starts programs from now until `until`, in milliseconds, as a Poisson process of the given rate. */
  startAtRate(until: number, programsPerSecond: (now: number) => number): void {
    const { clock } = this.#options;
    if (clock.now() >= until) return;
    const delayMilliseconds =
      (-Math.log(1 - this.#random.fraction()) * 1000) / programsPerSecond(clock.now());
    clock.after(delayMilliseconds, () => {
      this.startProgram();
      this.startAtRate(until, programsPerSecond);
    });
  }

  tally(): ProgramTally {
    const sorted = [...this.#relativeDurations].sort((left, right) => left - right);
    const quantile = (share: number) => sorted[Math.floor(sorted.length * share)] ?? 0;
    const onTime = sorted.filter((time) => time <= 1).length;
    return {
      started: this.#startedCount,
      onTime,
      late: sorted.length - onTime,
      unfinished: this.#startedCount - sorted.length,
      p50: quantile(0.5),
      p99: quantile(0.99),
    };
  }
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
  #refusals = 0;

  constructor(kind: ProgramKind, number: number, random: RandomSource, options: WorkloadOptions) {
    this.#options = options;
    this.#kind = kind;
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
