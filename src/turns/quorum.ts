import type { StoreView, ViewMember } from '../cluster';
import type { CancelTimer, Clock } from '../core';

/** What a round of questions to the members of a view has brought so far. */
export interface Round<Answer> {
  readonly answers: readonly Answer[];
  /** Members that have failed or did not answer in time. */
  readonly failures: readonly string[];
  /** Members that have neither answered nor failed. */
  readonly waiting: number;
}

export interface RoundOptions<Answer> {
  readonly view: StoreView;
  readonly clock: Clock;
  readonly ask: (member: ViewMember) => Promise<Answer>;
  /** Whether a round is decided: nothing that still comes could change its use. */
  readonly isEnough: (answers: readonly Answer[]) => boolean;
  /** Longest wait for the rest once enough have answered; milliseconds, 0 for none. */
  readonly graceMilliseconds: number;
  readonly describeFailure: (error: unknown) => string;
}

/** Asks all members of a view at once; resolves when enough have answered, or none is left. */
export function askMembers<Answer>(options: RoundOptions<Answer>): Promise<Round<Answer>> {
  const { view, clock, ask, isEnough, graceMilliseconds, describeFailure } = options;
  return new Promise((resolve) => {
    const answers: Answer[] = [];
    const failures: string[] = [];
    let cancelGrace: CancelTimer | undefined;
    const finish = () => {
      cancelGrace?.();
      const waiting = view.members.length - answers.length - failures.length;
      resolve({ answers: [...answers], failures: [...failures], waiting });
    };
    const judge = () => {
      const waiting = view.members.length - answers.length - failures.length;
      if (waiting === 0) finish();
      else if (isEnough(answers)) {
        if (graceMilliseconds === 0) finish();
        else cancelGrace ??= clock.after(graceMilliseconds, finish);
      }
    };
    for (const member of view.members) {
      ask(member).then(
        (answer) => {
          answers.push(answer);
          judge();
        },
        (error: unknown) => {
          failures.push(`${member.name}: ${describeFailure(error)}`);
          judge();
        },
      );
    }
  });
}
