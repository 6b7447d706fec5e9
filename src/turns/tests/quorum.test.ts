import type { ViewMember } from '../../cluster';
import { ManualClock } from '../../core/tests/manual-clock';
import { askInTurn, askMembers } from '../quorum';
import { SAMPLE_VIEW } from './sample-view';
import { settle } from './store-cluster';

const GRACE_MILLISECONDS = 12;
const STAGGER_MILLISECONDS = 25;

/** Answers with a member's own name, but never as the silent one. */
function askAllBut(silent: string) {
  return ({ name }: ViewMember): Promise<string> =>
    name === silent ? new Promise<string>(() => undefined) : Promise.resolve(name);
}

describe('a round of questions to all stores', () => {
  const [first, ...others] = SAMPLE_VIEW.members.map(({ name }) => name);

  const ask = async (isExpected: boolean) => {
    const clock = new ManualClock();
    let endedAt: number | undefined;
    void askMembers<string>({
      view: SAMPLE_VIEW,
      clock,
      ask: askAllBut(first ?? ''),
      isEnough: (answers) => answers.length >= SAMPLE_VIEW.quorum,
      graceMilliseconds: GRACE_MILLISECONDS,
      isExpected: () => isExpected,
      describeFailure: String,
    }).then(({ answers, waiting }) => {
      endedAt = clock.monotonic();
      expect([answers, waiting]).toEqual([others, [first]]);
    });
    await settle();
    clock.advance(GRACE_MILLISECONDS);
    await settle();
    return endedAt;
  };

  it('waits a little for the last one where it is expected to answer', async () => {
    expect(await ask(true)).toBe(GRACE_MILLISECONDS);
  });

  it('does not wait for one that was silent before', async () => {
    expect(await ask(false)).toBe(0);
  });
});

describe('questions to one store after another', () => {
  it('go to the next one soon where the first is silent', async () => {
    const clock = new ManualClock();
    const [first] = SAMPLE_VIEW.members;
    const asked: string[] = [];
    const answer = askInTurn<string, string>({
      members: SAMPLE_VIEW.members,
      clock,
      staggerMilliseconds: STAGGER_MILLISECONDS,
      ask: (member) => {
        asked.push(member.name);
        return askAllBut(first?.name ?? '')(member);
      },
      decide: (name) => name,
      onFailure: () => undefined,
    });
    clock.advance(STAGGER_MILLISECONDS);
    expect(await answer).toBe(SAMPLE_VIEW.members[1]?.name);
    clock.advance(10 * STAGGER_MILLISECONDS);
    expect(asked).toHaveLength(2);
  });

  it('end with nothing where all fail', async () => {
    const failures: unknown[] = [];
    const answer = await askInTurn<string, string>({
      members: SAMPLE_VIEW.members,
      clock: new ManualClock(),
      staggerMilliseconds: STAGGER_MILLISECONDS,
      ask: () => Promise.reject(new Error('cut off')),
      decide: (name) => name,
      onFailure: (error) => failures.push(error),
    });
    expect([answer, failures.length]).toEqual([undefined, SAMPLE_VIEW.members.length]);
  });
});
