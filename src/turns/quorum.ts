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
}

/** Asks all members of a view at once; resolves when enough have answered, or none is left. */
export function askMembers<Answer>(options: RoundOptions<Answer>): Promise<Round<Answer>> {
  const { view, clock, ask, isEnough, graceMilliseconds, describeFailure } = options;
  const { isExpected = () => true } = options;
  return new Promise((resolve) => {
    const answers: Answer[] = [];
    const failures: string[] = [];
    const outstanding = new Set(view.members);
    let cancelGrace: CancelTimer | undefined;
    const finish = () => {
      cancelGrace?.();
      const waiting = [...outstanding].map(({ name }) => name);
      resolve({ answers: [...answers], failures: [...failures], waiting });
    };
    const judge = () => {
      if (outstanding.size === 0) finish();
      else if (isEnough(answers)) {
        const waits = graceMilliseconds > 0 && [...outstanding].some(isExpected);
        if (!waits) finish();
        else cancelGrace ??= clock.after(graceMilliseconds, finish);
      }
    };
    for (const member of view.members) {
      ask(member).then(
        (answer) => {
          outstanding.delete(member);
          answers.push(answer);
          judge();
        },
        (error: unknown) => {
          outstanding.delete(member);
          failures.push(`${member.name}: ${describeFailure(error)}`);
          judge();
        },
      );
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
