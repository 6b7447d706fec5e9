/** Share by which each observation makes earlier ones count less; some 400 of them count. */
const FORGETTING = 1 - 1 / 400;

/** Residuals beyond this many times their usual size are cut: one stalled turn tells little. */
const CLIPPED_AT = 3;

/** Weight of the newest residual in their usual size. */
const RESIDUAL_WEIGHT = 0.05;

/** What a coefficient is taken to be before anything was observed. */
export interface Prior {
  readonly value: number;
  /** Standard deviation of that guess; it is forgotten as observations come. */
  readonly deviation: number;
}

/**
 * A linear model that is fitted while observations come: recursive least squares that forget, with
 * residuals cut where they are far beyond the usual ones.
 */
export class Regression {
  readonly #priors: readonly Prior[];
  readonly #coefficients: number[];
  /** Covariance of the coefficients, in units of the squared residual. */
  readonly #covariance: number[][];
  #usualResidual: number;

  /** `residual`: usual size of a residual before anything was observed, in the unit of the outcome. */
  constructor(priors: readonly Prior[], residual: number) {
    this.#priors = priors;
    this.#coefficients = priors.map(({ value }) => value);
    this.#covariance = priors.map(({ deviation }, row) =>
      priors.map((_, column) => (row === column ? (deviation / residual) ** 2 : 0)),
    );
    this.#usualResidual = residual;
  }

  get coefficients(): readonly number[] {
    return this.#coefficients;
  }

  expect(inputs: readonly number[]): number {
    return sumOf(this.#coefficients, inputs);
  }

  note(inputs: readonly number[], outcome: number): void {
    const residual = outcome - this.expect(inputs);
    const limit = CLIPPED_AT * this.#usualResidual;
    const clipped = Math.min(Math.max(residual, -limit), limit);
    this.#usualResidual += (Math.abs(clipped) - this.#usualResidual) * RESIDUAL_WEIGHT;
    const spread = this.#covariance.map((row) => sumOf(row, inputs));
    const scale = FORGETTING + sumOf(spread, inputs);
    const gain = spread.map((value) => value / scale);
    gain.forEach((share, index) => {
      this.#coefficients[index] = (this.#coefficients[index] ?? 0) + share * clipped;
    });
    this.#shrink(gain, spread);
  }

  /** What is not observed any more does not become less certain than it was at the beginning. */
  #shrink(gain: readonly number[], spread: readonly number[]): void {
    this.#covariance.forEach((row, index) => {
      row.forEach((value, column) => {
        row[column] = value - (gain[index] ?? 0) * (spread[column] ?? 0);
      });
    });
    const isBounded = this.#priors.every(({ deviation }, index) => {
      const variance = this.#covariance[index]?.[index] ?? 0;
      return variance / FORGETTING <= (deviation / this.#usualResidual) ** 2;
    });
    if (!isBounded) return;
    for (const row of this.#covariance) {
      row.forEach((value, column) => {
        row[column] = value / FORGETTING;
      });
    }
  }
}

function sumOf(left: readonly number[], right: readonly number[]): number {
  return left.reduce((sum, value, index) => sum + value * (right[index] ?? 0), 0);
}
