/** Answers remembered for each route; enough for one in fifty to stand out. */
const REMEMBERED = 128;

/** Answers without which nothing is said of a route. */
const LEAST = 32;

/** Answers after which the usual time is worked out anew. */
const RENEWAL = 16;

interface RouteTimes {
  readonly times: number[];
  next: number;
  fresh: number;
  usual: number | undefined;
}

/** How long calls of each route usually take, learned from the latest answers. Milliseconds. */
export class UsualTimes {
  readonly #share: number;
  readonly #routes = new Map<string, RouteTimes>();

  /** `share` of the answers come within the usual time. */
  constructor(share: number) {
    this.#share = share;
  }

  note(route: string, milliseconds: number): void {
    const known = this.#routes.get(route) ?? { times: [], next: 0, fresh: 0, usual: undefined };
    this.#routes.set(route, known);
    known.times[known.next] = milliseconds;
    known.next = (known.next + 1) % REMEMBERED;
    known.fresh += 1;
    if (known.times.length < LEAST || known.fresh < RENEWAL) return;
    known.fresh = 0;
    known.usual = this.#quantile(known.times);
  }

  /** Nothing while too few calls of the route were answered. */
  of(route: string): number | undefined {
    return this.#routes.get(route)?.usual;
  }

  #quantile(times: readonly number[]): number | undefined {
    const sorted = [...times].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * this.#share))];
  }
}
