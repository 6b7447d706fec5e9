import type { Clock, RandomSource } from '../../core';
import type { SimulatedProcess } from './simulated-process';

const MAX_TOKENS = 10;
const BUDGET_TOKENS = 3 * MAX_TOKENS;

const RESERVATION_MILLISECONDS = 1500;

const LONGEST_TURN_MILLISECONDS = 1000;

/** Fraction of the granted turns whose reservation is reduced to what they generated. */
const SETTLED_FRACTION = 0.3;

/** The tokens that turns were granted by program, and the check against the programs' budget. */
export class BudgetLedger {
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #onViolation: (violation: string) => void;
  readonly #committed = new Map<string, Map<string, number>>();
  #turns = 0;
  /** Called once, in the moment of the next grant. */
  onNextGrant: (() => void) | undefined;

  constructor(clock: Clock, random: RandomSource, onViolation: (violation: string) => void) {
    this.#clock = clock;
    this.#random = random;
    this.#onViolation = onViolation;
  }

  get grantedTurns(): number {
    return [...this.#committed.values()].reduce((sum, turns) => sum + turns.size, 0);
  }

  get programs(): readonly string[] {
    return [...this.#committed.keys()];
  }

  /** Reserves tokens for a turn; if they are granted, the turn generates some of them or all. */
  reserve(process: SimulatedProcess, program: string): void {
    this.#turns += 1;
    const turn = `t${this.#turns}`;
    const deadline = process.clock.monotonic() + RESERVATION_MILLISECONDS;
    const request = { program, turn, maxTokens: MAX_TOKENS, budget: BUDGET_TOKENS, deadline };
    process.turns.reserve(request).then(
      ({ fits }) => {
        if (!process.isRunning) return;
        if (fits) this.#grant(process, program, turn);
        else process.turns.settle(program, turn, 0);
      },
      () => undefined,
    );
  }

  #grant(process: SimulatedProcess, program: string, turn: string): void {
    const turns = this.#committed.get(program) ?? new Map<string, number>();
    this.#committed.set(program, turns);
    turns.set(turn, MAX_TOKENS);
    const total = [...turns.values()].reduce((sum, tokens) => sum + tokens, 0);
    if (total > BUDGET_TOKENS) {
      const now = this.#clock.monotonic();
      this.#onViolation(`${now} ms: ${program} was granted ${total} of ${BUDGET_TOKENS} tokens`);
    }
    const action = this.onNextGrant;
    this.onNextGrant = undefined;
    action?.();
    if (this.#random.fraction() >= SETTLED_FRACTION) return;
    this.#clock.after(this.#random.fraction() * LONGEST_TURN_MILLISECONDS, () => {
      if (!process.isRunning || process.isSuspended) return;
      const generated = Math.floor(this.#random.fraction() * MAX_TOKENS);
      turns.set(turn, generated);
      process.turns.settle(program, turn, generated);
    });
  }
}
