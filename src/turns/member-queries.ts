import type { StoreView, ViewMember } from '../cluster';
import type { CancelTimer, Clock } from '../core';

/** Result of one query to several members of a view. */
export interface QueryRound<Answer> {
  readonly answers: readonly Answer[];
  /** One line per failed member: its name and the error. */
  readonly failures: readonly string[];
}

export interface QueryRoundOptions<Answer> {
  readonly view: StoreView;
  readonly clock: Clock;
  readonly query: (member: ViewMember) => Promise<Answer>;
  /** Whether the answers suffice; the round then ends. */
  readonly isDecided: (answers: readonly Answer[]) => boolean;
  readonly describeFailure: (error: unknown) => string;
  /** Without it, all members are queried at once. */
  readonly hedging?: Hedging | undefined;
}

/** Queries some members first and hedges with the others. */
export interface Hedging {
  readonly order: readonly ViewMember[];
  /** Number of members that are queried at once; another one is queried for each failure. */
  readonly initialCount: number;
  /** Delay after which all other members are queried, if the round has not ended; milliseconds. */
  readonly hedgeDelayMilliseconds: number;
}

/** Queries members of a view; resolves when the round is decided or no member is left. */
export function queryMembers<Answer>(
  options: QueryRoundOptions<Answer>,
): Promise<QueryRound<Answer>> {
  const { view, clock, query, isDecided, describeFailure, hedging } = options;
  const { order, initialCount, hedgeDelayMilliseconds } = hedging ?? {
    order: view.members,
    initialCount: view.members.length,
    hedgeDelayMilliseconds: 0,
  };
  return new Promise((resolve) => {
    const answers: Answer[] = [];
    const failures: string[] = [];
    let pendingCount = 0;
    let queriedCount = 0;
    let cancelHedge: CancelTimer | undefined;
    const finish = () => {
      queriedCount = order.length;
      cancelHedge?.();
      resolve({ answers: [...answers], failures: [...failures] });
    };
    const evaluate = () => {
      if (isDecided(answers)) finish();
      else if (pendingCount === 0 && queriedCount < order.length) queryUpTo(order.length);
      else if (pendingCount === 0) finish();
    };
    const queryOne = (member: ViewMember) => {
      pendingCount += 1;
      query(member).then(
        (answer) => {
          pendingCount -= 1;
          answers.push(answer);
          evaluate();
        },
        (error: unknown) => {
          pendingCount -= 1;
          failures.push(`${member.name}: ${describeFailure(error)}`);
          queryUpTo(queriedCount + 1);
          evaluate();
        },
      );
    };
    const queryUpTo = (count: number) => {
      const members = order.slice(queriedCount, count);
      queriedCount += members.length;
      members.forEach(queryOne);
    };
    queryUpTo(initialCount);
    if (queriedCount < order.length) {
      cancelHedge = clock.after(hedgeDelayMilliseconds, () => {
        queryUpTo(order.length);
      });
    }
  });
}

/** Result of a query that all queried members must accept. */
export type UnanimousRound<Answer> =
  | { readonly kind: 'unanimous'; readonly answers: readonly Answer[] }
  | { readonly kind: 'rejected'; readonly member: ViewMember; readonly answer: Answer }
  | { readonly kind: 'failed'; readonly member: ViewMember; readonly error: unknown }
  | { readonly kind: 'late'; readonly pending: readonly ViewMember[] };

export interface UnanimousQueryOptions<Answer> {
  readonly members: readonly ViewMember[];
  readonly clock: Clock;
  readonly query: (member: ViewMember) => Promise<Answer>;
  readonly isAccepted: (answer: Answer) => boolean;
  /** Maximum wait for the answers; milliseconds. */
  readonly timeLimitMilliseconds: number;
}

/**
 * After a stall of this process, expired timers run before the answers that have already arrived
 * are read. The time limit is extended by a timer of its own, so that those answers still count.
 */
const ARRIVED_ANSWERS_GRACE_MILLISECONDS = 1;

/** Queries all members at once; ends at the first one that fails or whose answer is not accepted. */
export function queryUnanimously<Answer>(
  options: UnanimousQueryOptions<Answer>,
): Promise<UnanimousRound<Answer>> {
  const { members, clock, query, isAccepted, timeLimitMilliseconds } = options;
  return new Promise((resolve) => {
    const answers: Answer[] = [];
    const pending = new Set(members);
    const finish = (round: UnanimousRound<Answer>) => {
      cancelTimer();
      resolve(round);
    };
    let cancelTimer = clock.after(timeLimitMilliseconds, () => {
      cancelTimer = clock.after(ARRIVED_ANSWERS_GRACE_MILLISECONDS, () => {
        finish({ kind: 'late', pending: [...pending] });
      });
    });
    for (const member of members) {
      query(member).then(
        (answer) => {
          pending.delete(member);
          answers.push(answer);
          if (!isAccepted(answer)) finish({ kind: 'rejected', member, answer });
          else if (pending.size === 0) finish({ kind: 'unanimous', answers });
        },
        (error: unknown) => {
          pending.delete(member);
          finish({ kind: 'failed', member, error });
        },
      );
    }
  });
}

export interface OrderedQueryOptions<Answer, Result> {
  readonly members: readonly ViewMember[];
  readonly clock: Clock;
  /** Delay after which the next member is queried while one is pending; milliseconds. */
  readonly hedgeDelayMilliseconds: number;
  readonly query: (member: ViewMember) => Promise<Answer>;
  /** Returns the result, or `undefined` if another member must be queried. */
  readonly decide: (answer: Answer, member: ViewMember) => Result | undefined;
  readonly onFailure: (error: unknown, member: ViewMember) => void;
}

/** Queries members one after another, hedged; resolves with `undefined` if no answer decides. */
export function queryInOrder<Answer, Result>(
  options: OrderedQueryOptions<Answer, Result>,
): Promise<Result | undefined> {
  const { members, clock, hedgeDelayMilliseconds, query, decide, onFailure } = options;
  return new Promise((resolve) => {
    let queriedCount = 0;
    let pendingCount = 0;
    let cancelHedge: CancelTimer = () => undefined;
    const finish = (result: Result | undefined) => {
      queriedCount = members.length;
      cancelHedge();
      resolve(result);
    };
    const queryNext = () => {
      cancelHedge();
      const member = members[queriedCount];
      if (member === undefined) {
        if (pendingCount === 0) finish(undefined);
        return;
      }
      queriedCount += 1;
      pendingCount += 1;
      query(member).then(
        (answer) => {
          pendingCount -= 1;
          const result = decide(answer, member);
          if (result === undefined) queryNext();
          else finish(result);
        },
        (error: unknown) => {
          pendingCount -= 1;
          onFailure(error, member);
          queryNext();
        },
      );
      cancelHedge = clock.after(hedgeDelayMilliseconds, queryNext);
    };
    queryNext();
  });
}
