import type { StoreView, ViewMember } from '../cluster';
import type { CancelTimer, Clock } from '../core';

/** What a round of questions to the members of a view has brought so far. */
export interface Round<Answer> {
  readonly answers: readonly Answer[];
  /** Members that have failed or did not answer in time. */
  readonly failures: readonly string[];
  /** Names of the members that have neither answered nor failed. */
  readonly waiting: readonly string[];
}

export interface RoundOptions<Answer> {
  readonly view: StoreView;
  readonly clock: Clock;
  readonly ask: (member: ViewMember) => Promise<Answer>;
  /** Whether a round is decided: nothing that still comes could change its use. */
  readonly isEnough: (answers: readonly Answer[]) => boolean;
  /** Longest wait for the rest once enough have answered; milliseconds, 0 for none. */
  readonly graceMilliseconds: number;
  /** Whether a member that has not answered yet is worth that wait. */
  readonly isExpected?: (member: ViewMember) => boolean;
  readonly describeFailure: (error: unknown) => string;
  /** Which members are asked first; all are asked at once where it is left out. */
  readonly preference?: Preference | undefined;
}

/** An order in which the members of a view are asked. */
export interface Preference {
  readonly order: readonly ViewMember[];
  /** Members that are asked at once; another is asked for each that fails. */
  readonly first: number;
  /** Time after which all others are asked too, while not enough have answered; milliseconds. */
  readonly staggerMilliseconds: number;
}

/**
 * Asks members of a view, all at once or the first ones of an order first; resolves when enough have
 * answered, or none is left.
 */
export function askMembers<Answer>(options: RoundOptions<Answer>): Promise<Round<Answer>> {
  const { view, clock, ask, isEnough, graceMilliseconds, describeFailure, preference } = options;
  const { isExpected = () => true } = options;
  const { order, first, staggerMilliseconds } = preference ?? {
    order: view.members,
    first: view.members.length,
    staggerMilliseconds: 0,
  };
  return new Promise((resolve) => {
    const answers: Answer[] = [];
    const failures: string[] = [];
    const outstanding = new Set<ViewMember>();
    let asked = 0;
    let cancelGrace: CancelTimer | undefined;
    let cancelStagger: CancelTimer | undefined;
    const finish = () => {
      asked = order.length;
      cancelGrace?.();
      cancelStagger?.();
      const waiting = [...outstanding].map(({ name }) => name);
      resolve({ answers: [...answers], failures: [...failures], waiting });
    };
    const judge = () => {
      if (isEnough(answers)) {
        const waits = graceMilliseconds > 0 && [...outstanding].some(isExpected);
        if (!waits) finish();
        else cancelGrace ??= clock.after(graceMilliseconds, finish);
      } else if (outstanding.size === 0 && asked < order.length) askUpTo(order.length);
      else if (outstanding.size === 0) finish();
    };
    const askOne = (member: ViewMember) => {
      outstanding.add(member);
      ask(member).then(
        (answer) => {
          outstanding.delete(member);
          answers.push(answer);
          judge();
        },
        (error: unknown) => {
          outstanding.delete(member);
          failures.push(`${member.name}: ${describeFailure(error)}`);
          askUpTo(asked + 1);
          judge();
        },
      );
    };
    const askUpTo = (count: number) => {
      const members = order.slice(asked, count);
      asked += members.length;
      members.forEach(askOne);
    };
    askUpTo(first);
    if (asked < order.length) {
      cancelStagger = clock.after(staggerMilliseconds, () => {
        askUpTo(order.length);
      });
    }
  });
}

export interface InTurnOptions<Answer, Result> {
  readonly members: readonly ViewMember[];
  readonly clock: Clock;
  /** Time after which the next member is asked too, while one is silent; milliseconds. */
  readonly staggerMilliseconds: number;
  readonly ask: (member: ViewMember) => Promise<Answer>;
  /** Takes an answer; returns what is decided by now, or nothing if another member is needed. */
  readonly decide: (answer: Answer, member: ViewMember) => Result | undefined;
  readonly onFailure: (error: unknown, member: ViewMember) => void;
}

/** Asks member after member until one answer decides; resolves with nothing if none does. */
export function askInTurn<Answer, Result>(
  options: InTurnOptions<Answer, Result>,
): Promise<Result | undefined> {
  const { members, clock, staggerMilliseconds, ask, decide, onFailure } = options;
  return new Promise((resolve) => {
    let asked = 0;
    let open = 0;
    let cancelStagger: CancelTimer = () => undefined;
    const finish = (result: Result | undefined) => {
      asked = members.length;
      cancelStagger();
      resolve(result);
    };
    const askNext = () => {
      cancelStagger();
      const member = members[asked];
      if (member === undefined) {
        if (open === 0) finish(undefined);
        return;
      }
      asked += 1;
      open += 1;
      ask(member).then(
        (answer) => {
          open -= 1;
          const result = decide(answer, member);
          if (result === undefined) askNext();
          else finish(result);
        },
        (error: unknown) => {
          open -= 1;
          onFailure(error, member);
          askNext();
        },
      );
      cancelStagger = clock.after(staggerMilliseconds, askNext);
    };
    askNext();
  });
}
