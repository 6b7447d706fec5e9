import type { StoreView, ViewMember } from '../../cluster';
import { ManualClock } from '../../core/tests/manual-clock';
import { holdersFirst } from '../copies';
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

describe('a round of questions to some stores first', () => {
  const { members, quorum } = SAMPLE_VIEW;
  const [first, ...rest] = members.map(({ name }) => name);

  /** Asks a quorum of the members first; returns who was asked and how the round ended. */
  async function askFirst(ask: (member: ViewMember) => Promise<string>, milliseconds: number) {
    const clock = new ManualClock();
    const asked: string[] = [];
    const round = askMembers<string>({
      view: SAMPLE_VIEW,
      clock,
      ask: (member) => {
        asked.push(member.name);
        return ask(member);
      },
      isEnough: (answers) => answers.length >= quorum,
      graceMilliseconds: 0,
      describeFailure: String,
      preference: { order: members, first: quorum, staggerMilliseconds: STAGGER_MILLISECONDS },
    });
    await settle();
    clock.advance(milliseconds);
    return { asked, round: await round };
  }

  it('asks no others where those answer', async () => {
    const { asked, round } = await askFirst(askAllBut(''), 10 * STAGGER_MILLISECONDS);
    expect(asked).toEqual(members.slice(0, quorum).map(({ name }) => name));
    expect(round.answers).toEqual(asked);
  });

  it('asks all others once one is late', async () => {
    const { asked, round } = await askFirst(askAllBut(first ?? ''), STAGGER_MILLISECONDS);
    expect(asked).toHaveLength(members.length);
    expect(round.answers).toEqual(rest.slice(0, round.answers.length));
  });

  it('asks another at once for one that fails, and ends when all have failed', async () => {
    const fail = ({ name }: ViewMember) =>
      name === first ? Promise.reject(new Error('cut off')) : Promise.resolve(name);
    const one = await askFirst(fail, 0);
    expect(one.asked).toHaveLength(quorum + 1);
    expect(one.round.answers).toHaveLength(quorum);
    const none = await askFirst(() => Promise.reject(new Error('cut off')), 0);
    expect(none.round).toMatchObject({ answers: [], waiting: [] });
    expect(none.round.failures).toHaveLength(members.length);
  });
});

describe('the holders of a program', () => {
  const namesFor = (view: StoreView, program: string) =>
    holdersFirst(view, program).map(({ name }) => name);

  it('are the same for everybody, whatever the order of the view', () => {
    const reversed = { ...SAMPLE_VIEW, members: [...SAMPLE_VIEW.members].reverse() };
    expect(namesFor(reversed, 'p1')).toEqual(namesFor(SAMPLE_VIEW, 'p1'));
  });

  it('are spread over all stores', () => {
    const counts = new Map<string, number>();
    for (let program = 0; program < 600; program += 1) {
      const [first = ''] = namesFor(SAMPLE_VIEW, `p${program}`);
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    const fair = 600 / SAMPLE_VIEW.members.length;
    for (const count of counts.values()) expect(count).toBeGreaterThan(0.7 * fair);
    expect(counts.size).toBe(SAMPLE_VIEW.members.length);
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
