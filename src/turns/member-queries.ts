import type { StoreView, ViewMember } from '../cluster';
import type { CancelTimer, Clock } from '../core';

/** Result of one query to several members of a view. */
export interface QueryRound<Answer> {
  readonly answers: readonly Answer[];
  /** One line per failed member: its name and the error. */
  readonly failures: readonly string[];
  /** Names of the queried members that have neither answered nor failed. */
  readonly pending: readonly string[];
}

export interface QueryRoundOptions<Answer> {
  readonly view: StoreView;
  readonly clock: Clock;
  readonly query: (member: ViewMember) => Promise<Answer>;
  /** Whether the answers suffice; the round then ends, or waits for stragglers only. */
  readonly isDecided: (answers: readonly Answer[]) => boolean;
  /** Maximum wait for further answers once the round is decided; milliseconds, 0 for none. */
  readonly stragglerWaitMilliseconds: number;
  /** Whether that wait includes a pending member; all are included by default. */
  readonly isResponsive?: (member: ViewMember) => boolean;
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
  const { view, clock, query, isDecided, stragglerWaitMilliseconds, describeFailure, hedging } =
    options;
  const { isResponsive = () => true } = options;
  const { order, initialCount, hedgeDelayMilliseconds } = hedging ?? {
    order: view.members,
    initialCount: view.members.length,
    hedgeDelayMilliseconds: 0,
  };
  return new Promise((resolve) => {
    const answers: Answer[] = [];
    const failures: string[] = [];
    const pending = new Set<ViewMember>();
    let queriedCount = 0;
    let cancelStragglerWait: CancelTimer | undefined;
    let cancelHedge: CancelTimer | undefined;
    const finish = () => {
      queriedCount = order.length;
      cancelStragglerWait?.();
      cancelHedge?.();
      const pendingNames = [...pending].map(({ name }) => name);
      resolve({ answers: [...answers], failures: [...failures], pending: pendingNames });
    };
    const evaluate = () => {
      if (isDecided(answers)) {
        const awaitsStragglers = stragglerWaitMilliseconds > 0 && [...pending].some(isResponsive);
        if (!awaitsStragglers) finish();
        else cancelStragglerWait ??= clock.after(stragglerWaitMilliseconds, finish);
      } else if (pending.size === 0 && queriedCount < order.length) queryUpTo(order.length);
      else if (pending.size === 0) finish();
    };
    const queryOne = (member: ViewMember) => {
      pending.add(member);
      query(member).then(
        (answer) => {
          pending.delete(member);
          answers.push(answer);
          evaluate();
        },
        (error: unknown) => {
          pending.delete(member);
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
