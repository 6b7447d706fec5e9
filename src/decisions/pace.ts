import { type Prior, Regression } from './regression';

/** One whole turn as its gateway saw it. */
export interface TurnObservation {
  /** Tokens of the prompt that the engine did not hold, as far as known. */
  readonly unreadTokens: number;
  /** Other requests under way at the engine when the turn was sent there. */
  readonly load: number;
  /** Requests that the engine works on at once. */
  readonly slots: number;
  /** Time from sending the turn to its first event; milliseconds. */
  readonly firstEventMilliseconds: number;
  /** Time from the first event to the last; milliseconds. */
  readonly streamMilliseconds: number;
  readonly events: number;
}

/** What a turn takes at the engines of one service; milliseconds. */
export interface TurnPace {
  /** For each token of the prompt that an engine does not hold. */
  readonly perUnreadToken: number;
  /** For each other turn that the engine works on. */
  readonly perNeighbor: number;
  /** For each turn that waits there for a place. */
  readonly perWaiting: number;
  /** Of a turn of the usual length alone at its engine, its prompt held. */
  readonly alone: number;
}

/** Until turns were seen: an engine of 38 tokens a millisecond and 0.15 ms a token for each neighbor. */
const FIRST_EVENT_PRIORS: readonly Prior[] = [
  { value: 30, deviation: 30 },
  { value: 1 / 38, deviation: 0.02 },
  { value: 2, deviation: 4 },
  { value: 30, deviation: 30 },
];

/** Time to the first event by which turns differ for no reason that is known here; milliseconds. */
const FIRST_EVENT_RESIDUAL = 30;

const GAP_PRIORS: readonly Prior[] = [
  { value: 25, deviation: 25 },
  { value: 0.7, deviation: 2 },
];

/** The same for the mean time between events; milliseconds. */
const GAP_RESIDUAL = 10;

/** Gaps between the events of a usual turn before any was seen. */
const USUAL_GAPS = 6;

/** Weight of the newest turn in the usual number of gaps. */
const GAPS_WEIGHT = 0.02;

/** Bounds of what one turn says of its engine's speed; a stall of seconds counts as six times. */
const RATIO_BOUNDS = { least: 1 / 6, most: 6 } as const;

/**
 * Learns what turns take at the engines of a service, from the turns that this process sends there.
 * Answers deployments whose engines read, generate and share their time differently: no figure of an
 * engine is written down but the prior, which some hundred turns outweigh.
 */
export class ServicePace {
  readonly #firstEvent = new Regression(FIRST_EVENT_PRIORS, FIRST_EVENT_RESIDUAL);
  readonly #gap = new Regression(GAP_PRIORS, GAP_RESIDUAL);
  #usualGaps = USUAL_GAPS;

  get pace(): TurnPace {
    const [first = 0, perToken = 0, perNeighbor = 0, perWaiting = 0] =
      this.#firstEvent.coefficients;
    const [gap = 0, gapPerNeighbor = 0] = this.#gap.coefficients;
    const stream = this.#usualGaps * Math.max(0, gapPerNeighbor);
    return {
      perUnreadToken: Math.max(0, perToken),
      perNeighbor: Math.max(0, perNeighbor) + stream,
      perWaiting: Math.max(0, perWaiting),
      alone: Math.max(0, first) + this.#usualGaps * Math.max(0, gap),
    };
  }

  /** Notes a turn; returns how many times longer it took than turns of its kind at this load. */
  note(turn: TurnObservation): number {
    const first = firstEventInputs(turn);
    const neighbors = [1, Math.min(turn.load, turn.slots)];
    const gaps = Math.max(0, turn.events - 1);
    const expected = this.#firstEvent.expect(first) + gaps * this.#gap.expect(neighbors);
    const ratio = (turn.firstEventMilliseconds + turn.streamMilliseconds) / Math.max(1, expected);
    this.#firstEvent.note(first, turn.firstEventMilliseconds);
    if (gaps > 0) this.#gap.note(neighbors, turn.streamMilliseconds / gaps);
    this.#usualGaps += (gaps - this.#usualGaps) * GAPS_WEIGHT;
    return Math.min(Math.max(ratio, RATIO_BOUNDS.least), RATIO_BOUNDS.most);
  }
}

/** What is taken to hold before any turn was seen. */
export const PRIOR_PACE: TurnPace = new ServicePace().pace;

function firstEventInputs({ unreadTokens, load, slots }: TurnObservation): readonly number[] {
  return [1, unreadTokens, Math.min(load, slots), Math.max(0, load - slots)];
}

/** Weight of the newest turn in an engine's slowness. */
const TURN_WEIGHT = 0.25;

/** Time in which a slowness that no turn confirms falls by half; an engine is then tried again. */
const FORGIVING_MILLISECONDS = 3000;

/** Slowness that passes for chance: single turns of equal engines differ by as much. */
const CHANCE = 1.4;

/** How much longer turns take at one engine than at others with the same load. */
export interface Slowness {
  /** Mean logarithm of the ratio, as of `at`. */
  readonly logarithm: number;
  /** Monotonic time, milliseconds. */
  readonly at: number;
}

export const USUAL_SLOWNESS: Slowness = { logarithm: 0, at: 0 };

/** Slowness after some more turns, whose ratios have this sum of logarithms. */
export function nextSlowness(
  slowness: Slowness,
  turns: { readonly count: number; readonly logarithms: number },
  now: number,
): Slowness {
  const known = logarithmAt(slowness, now);
  const weight = 1 - (1 - TURN_WEIGHT) ** turns.count;
  const logarithm = known + (turns.logarithms / turns.count - known) * weight;
  return { logarithm, at: now };
}

/** How many times longer turns take at the engine than is explained by chance; 1 at least. */
export function slownessAt(slowness: Slowness, now: number): number {
  return Math.max(1, Math.exp(logarithmAt(slowness, now)) / CHANCE);
}

function logarithmAt({ logarithm, at }: Slowness, now: number): number {
  return logarithm * 0.5 ** ((now - at) / FORGIVING_MILLISECONDS);
}
