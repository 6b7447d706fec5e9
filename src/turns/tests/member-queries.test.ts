import type { StoreView, ViewMember } from '../../cluster';
import { ManualClock } from '../../core/tests/manual-clock';
import { ReplicaRanker, rankReplicas } from '../replica-ranking';
import { queryInOrder, queryMembers, queryUnanimously } from '../member-queries';
import { SAMPLE_VIEW } from './sample-view';
import { flushEventLoop } from './simulated-cluster';

const HEDGE_DELAY_MILLISECONDS = 25;

/** Every member but one answers with its own name; the call to that one stays pending. */
function answerAllExcept(unresponsive: string) {
  return ({ name }: ViewMember): Promise<string> =>
    name === unresponsive ? new Promise<string>(() => undefined) : Promise.resolve(name);
}

describe('queryUnanimously', () => {
  const { members } = SAMPLE_VIEW;
  const names = members.map(({ name }) => name);
  const [first = ''] = names;

  const start = (query: (member: ViewMember) => Promise<string>) => {
    const clock = new ManualClock();
    const round = queryUnanimously<string>({
      members,
      clock,
      query,
      isAccepted: (answer) => answer !== 'incomplete',
      timeLimitMilliseconds: HEDGE_DELAY_MILLISECONDS,
    });
    return { clock, round };
  };

  it('waits for every member within the time limit, and names those that are late', async () => {
    const { clock, round } = start(answerAllExcept(first));
    let endedAt: number | undefined;
    void round.then(() => (endedAt = clock.monotonic()));
    clock.advance(HEDGE_DELAY_MILLISECONDS - 1);
    await flushEventLoop();
    expect(endedAt).toBeUndefined();
    clock.advance(2);
    expect(await round).toEqual({ kind: 'late', pending: [members[0]] });
  });

  it('ends at once when a member fails or its answer is not accepted', async () => {
    const failing = start(({ name }) =>
      name === first
        ? Promise.reject(new Error('connection lost'))
        : answerAllExcept('')(members[0] as ViewMember),
    );
    expect(await failing.round).toMatchObject({ kind: 'failed', member: members[0] });
    const rejecting = start(({ name }) =>
      name === first ? Promise.resolve('incomplete') : new Promise<string>(() => undefined),
    );
    expect(await rejecting.round).toMatchObject({ kind: 'rejected', answer: 'incomplete' });
  });

  it('counts answers that arrived while this process was stalled beyond the time limit', async () => {
    const release: (() => void)[] = [];
    const { clock, round } = start(
      ({ name }) =>
        new Promise((resolve) =>
          release.push(() => {
            resolve(name);
          }),
        ),
    );
    clock.jump(3 * HEDGE_DELAY_MILLISECONDS);
    for (const answer of release) answer();
    expect(await round).toEqual({ kind: 'unanimous', answers: names });
  });
});

describe('queryMembers with hedging', () => {
  const { members, quorum } = SAMPLE_VIEW;
  const [first, ...rest] = members.map(({ name }) => name);

  /** Queries a quorum of the members first; returns the queried names and the round's result. */
  async function queryFirst(query: (member: ViewMember) => Promise<string>, milliseconds: number) {
    const clock = new ManualClock();
    const queried: string[] = [];
    const round = queryMembers<string>({
      view: SAMPLE_VIEW,
      clock,
      query: (member) => {
        queried.push(member.name);
        return query(member);
      },
      isDecided: (answers) => answers.length >= quorum,
      describeFailure: String,
      hedging: {
        order: members,
        initialCount: quorum,
        hedgeDelayMilliseconds: HEDGE_DELAY_MILLISECONDS,
      },
    });
    await flushEventLoop();
    clock.advance(milliseconds);
    return { queried, round: await round };
  }

  it('queries no other members if the first ones answer', async () => {
    const { queried, round } = await queryFirst(answerAllExcept(''), 10 * HEDGE_DELAY_MILLISECONDS);
    expect(queried).toEqual(members.slice(0, quorum).map(({ name }) => name));
    expect(round.answers).toEqual(queried);
  });

  it('queries all other members after the hedge delay', async () => {
    const { queried, round } = await queryFirst(
      answerAllExcept(first ?? ''),
      HEDGE_DELAY_MILLISECONDS,
    );
    expect(queried).toHaveLength(members.length);
    expect(round.answers).toEqual(rest.slice(0, round.answers.length));
  });

  it('queries another member at once for each failure, and ends when all have failed', async () => {
    const fail = ({ name }: ViewMember) =>
      name === first ? Promise.reject(new Error('connection lost')) : Promise.resolve(name);
    const one = await queryFirst(fail, 0);
    expect(one.queried).toHaveLength(quorum + 1);
    expect(one.round.answers).toHaveLength(quorum);
    const none = await queryFirst(() => Promise.reject(new Error('connection lost')), 0);
    expect(none.round.answers).toEqual([]);
    expect(none.round.failures).toHaveLength(members.length);
  });
});

describe('rankReplicas', () => {
  const rankedNames = (view: StoreView, program: string) =>
    rankReplicas(view, program).map(({ name }) => name);

  it('does not depend on the order of the members in the view', () => {
    const reversed = { ...SAMPLE_VIEW, members: [...SAMPLE_VIEW.members].reverse() };
    expect(rankedNames(reversed, 'p1')).toEqual(rankedNames(SAMPLE_VIEW, 'p1'));
  });

  it('spreads programs evenly over the members', () => {
    const counts = new Map<string, number>();
    for (let program = 0; program < 600; program += 1) {
      const [first = ''] = rankedNames(SAMPLE_VIEW, `p${program}`);
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    const expected = 600 / SAMPLE_VIEW.members.length;
    for (const count of counts.values()) expect(count).toBeGreaterThan(0.7 * expected);
    expect(counts.size).toBe(SAMPLE_VIEW.members.length);
  });
});

describe('ReplicaRanker', () => {
  it('returns the order of the given view, after more programs than it keeps', () => {
    const ranker = new ReplicaRanker();
    const smaller = { ...SAMPLE_VIEW, epoch: 2, members: SAMPLE_VIEW.members.slice(1) };
    for (const view of [SAMPLE_VIEW, smaller, SAMPLE_VIEW]) {
      for (let index = 0; index < 200; index += 1) {
        const program = `p${index % 100}`;
        expect(ranker.rank(view, program)).toEqual(rankReplicas(view, program));
      }
    }
  });

  it('hashes a program once for the turns that follow one another', () => {
    const ranker = new ReplicaRanker();
    expect(ranker.rank(SAMPLE_VIEW, 'p1')).toBe(ranker.rank(SAMPLE_VIEW, 'p1'));
  });
});

describe('queryInOrder', () => {
  it('queries the next member after the hedge delay while the first one is pending', async () => {
    const clock = new ManualClock();
    const [first] = SAMPLE_VIEW.members;
    const queried: string[] = [];
    const answer = queryInOrder<string, string>({
      members: SAMPLE_VIEW.members,
      clock,
      hedgeDelayMilliseconds: HEDGE_DELAY_MILLISECONDS,
      query: (member) => {
        queried.push(member.name);
        return answerAllExcept(first?.name ?? '')(member);
      },
      decide: (name) => name,
      onFailure: () => undefined,
    });
    clock.advance(HEDGE_DELAY_MILLISECONDS);
    expect(await answer).toBe(SAMPLE_VIEW.members[1]?.name);
    clock.advance(10 * HEDGE_DELAY_MILLISECONDS);
    expect(queried).toHaveLength(2);
  });

  it('resolves with undefined when all members fail', async () => {
    const failures: unknown[] = [];
    const answer = await queryInOrder<string, string>({
      members: SAMPLE_VIEW.members,
      clock: new ManualClock(),
      hedgeDelayMilliseconds: HEDGE_DELAY_MILLISECONDS,
      query: () => Promise.reject(new Error('connection lost')),
      decide: (name) => name,
      onFailure: (error) => failures.push(error),
    });
    expect([answer, failures.length]).toEqual([undefined, SAMPLE_VIEW.members.length]);
  });
});
