import { type RandomSource, SeededRandom } from '../../src/core';
import type { PromptPart } from '../../src/targets';
import type { Calendar } from './calendar';
import type { EngineFacts } from './engine';
import type { Fleet } from './fleet';

/** One kind of program. Times in milliseconds. */
export interface ProgramKind {
  readonly name: string;
  readonly turns: number;
  readonly sharedTokens: number;
  /** Tokens of new input that each turn brings, on the mean. */
  readonly inputTokens: number;
  readonly outputTokens: number;
  /** Time between two turns, tools and thought together, on the mean. */
  readonly pause: number;
  /** The time objective, as a multiple of the time on idle engines. */
  readonly aim: number;
}

/** The carriers' two kinds, as their pages describe them. */
export const CARRIER_KINDS: readonly ProgramKind[] = [
  {
    ...{ name: 'assist', turns: 4, sharedTokens: 2560, inputTokens: 1030, outputTokens: 35 },
    ...{ pause: 350, aim: 1.6 },
  },
  {
    ...{ name: 'rebook', turns: 11, sharedTokens: 2560, inputTokens: 514, outputTokens: 35 },
    ...{ pause: 350, aim: 1.6 },
  },
];

/** Beginnings that the programs of one kind share. */
const SHARED_PARTS = 3;

/** Refusals after which a caller gives its program up. */
const MOST_REFUSALS = 4;

/** Time that every program has beyond the multiple; milliseconds. */
const SPARE_MILLISECONDS = 200;

/** How the programs of a run came out. */
export interface Tally {
  readonly begun: number;
  readonly inTime: number;
  readonly late: number;
  /** Programs that were refused for good, or had not ended when the run did. */
  readonly unfinished: number;
  /** Time of a program as a multiple of its objective. */
  readonly p50: number;
  readonly p99: number;
}

export interface WorkloadOptions {
  readonly calendar: Calendar;
  readonly fleet: Fleet;
  readonly facts: EngineFacts;
  readonly kinds: readonly ProgramKind[];
  readonly seed: number;
}

/** Begins programs and sees how they end. */
export class Workload {
  readonly #options: WorkloadOptions;
  readonly #random: RandomSource;
  /** Time of each ended program as a multiple of its objective. */
  readonly #ended: number[] = [];
  #begun = 0;

  constructor(options: WorkloadOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
  }

  /** Begins a program; one in five is of the last kind. */
  begin(): void {
    const { calendar, kinds } = this.#options;
    const kind = kinds[this.#random.fraction() < 0.2 ? kinds.length - 1 : 0];
    if (kind === undefined) return;
    this.#begun += 1;
    const program = new Program(kind, this.#begun, this.#random, this.#options);
    const beganAt = calendar.now();
    program.run(() => {
      this.#ended.push((calendar.now() - beganAt) / program.objective);
    });
  }

  /** Begins programs at random moments from now until `until`, so many a second on the mean. */
  beginMany(until: number, perSecond: (now: number) => number): void {
    const { calendar } = this.#options;
    if (calendar.now() >= until) return;
    const gap = (-Math.log(1 - this.#random.fraction()) * 1000) / perSecond(calendar.now());
    calendar.after(gap, () => {
      this.begin();
      this.beginMany(until, perSecond);
    });
  }

  tally(): Tally {
    const sorted = [...this.#ended].sort((left, right) => left - right);
    const at = (share: number) => sorted[Math.floor(sorted.length * share)] ?? 0;
    const inTime = sorted.filter((time) => time <= 1).length;
    return {
      begun: this.#begun,
      inTime,
      late: sorted.length - inTime,
      unfinished: this.#begun - sorted.length,
      p50: at(0.5),
      p99: at(0.99),
    };
  }
}

/** One program: turns one after the other, each with all that was said before. */
class Program {
  readonly objective: number;
  readonly #options: WorkloadOptions;
  readonly #kind: ProgramKind;
  readonly #shared: PromptPart;
  readonly #inputs: readonly number[];
  readonly #pauses: readonly number[];
  readonly #own: string;
  #refusals = 0;

  constructor(kind: ProgramKind, number: number, random: RandomSource, options: WorkloadOptions) {
    this.#options = options;
    this.#kind = kind;
    this.#own = `own-${number}`;
    const shared = Math.floor(random.fraction() * SHARED_PARTS);
    this.#shared = { id: `${kind.name}-${shared}`, tokens: kind.sharedTokens };
    const turns = Math.max(1, Math.round(kind.turns * (0.5 + random.fraction())));
    const around = (mean: number) => Math.round(mean * (0.3 + 1.4 * random.fraction()));
    this.#inputs = Array.from({ length: turns }, () => around(kind.inputTokens));
    this.#pauses = Array.from({ length: turns }, () => around(kind.pause));
    this.objective = this.#idleTime(options.facts) * kind.aim + SPARE_MILLISECONDS;
  }

  run(onEnd: () => void): void {
    this.#turn(0, this.#shared.tokens, undefined, onEnd);
  }

  #turn(
    index: number,
    heldTokens: number,
    lastTarget: string | undefined,
    onEnd: () => void,
  ): void {
    const { calendar, fleet } = this.#options;
    const input = this.#inputs[index];
    if (input === undefined) {
      onEnd();
      return;
    }
    const { outputTokens } = this.#kind;
    const own = heldTokens - this.#shared.tokens + input;
    fleet.send({
      parts: [this.#shared, { id: this.#own, tokens: own }],
      lastTarget,
      heldTokens,
      outputTokens,
      startsProgram: index === 0,
      onRefused: (pause) => {
        this.#refusals += 1;
        if (this.#refusals === MOST_REFUSALS) return;
        calendar.after(pause, () => {
          this.#turn(index, heldTokens, lastTarget, onEnd);
        });
      },
      onEnd: (target) => {
        calendar.after(this.#pauses[index] ?? 0, () => {
          this.#turn(index + 1, heldTokens + input + outputTokens, target, onEnd);
        });
      },
    });
  }

  /** Time on engines with nothing else to do, which hold what was said before. */
  #idleTime({ stepTime, stepTimePerRequest, tokensReadPerMillisecond }: EngineFacts): number {
    const step = stepTime + stepTimePerRequest;
    return this.#inputs.reduce((sum, input, index) => {
      const reading = input / tokensReadPerMillisecond;
      return sum + reading + this.#kind.outputTokens * step + (this.#pauses[index] ?? 0);
    }, 0);
  }
}
