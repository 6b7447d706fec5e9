import { SeededRandom } from '../../core';
import { RecentHellos } from '../recent-hellos';
import { type MembershipPlanInput, planMembership } from '../membership-plan';
import type { Membership } from '../membership';
import type { Hello, LogEntry, RaftMessage } from '../messages';
import { RaftMember } from '../raft-member';

const THREE_VOTERS: Membership = { voters: ['a/1', 'b/1', 'c/1'], learners: [] };
const NOW = 10_000;

describe('the membership of a replicated log', () => {
  describe('planned by the leader', () => {
    function planInput(changed: Partial<MembershipPlanInput> = {}): MembershipPlanInput {
      const caughtUp = {
        nextIndex: 101,
        matchIndex: 100,
        appendInFlight: undefined,
        snapshotInFlight: false,
      };
      const peers = ['b/1', 'c/1', 'd/1', 'b/2'].map(
        (peer) => [peer, { ...caughtUp, answeredAt: NOW }] as const,
      );
      return {
        self: 'a/1',
        membership: THREE_VOTERS,
        peers: new Map(peers),
        hosts: ['a', 'b', 'c'],
        joiningIdentities: [],
        commitIndex: 100,
        now: NOW,
        unresponsiveMilliseconds: 1000,
        ...changed,
      };
    }

    /** The input with the progress of one peer replaced. */
    function withPeer(peer: string, progress: object, changed: Partial<MembershipPlanInput>) {
      const base = planInput(changed);
      const known = base.peers.get(peer) ?? base.peers.get('b/1');
      const peers = new Map(base.peers);
      if (known !== undefined) peers.set(peer, { ...known, ...progress });
      return { ...base, peers };
    }

    it('is unchanged while every listed host is a voter', () => {
      expect(planMembership(planInput())).toBeUndefined();
    });

    it('loses a member only if it is unresponsive and its host has a new incarnation', () => {
      const joiningIdentities = ['b/2'];
      expect(planMembership(planInput({ joiningIdentities }))).toBeUndefined();
      const unresponsive = withPeer('b/1', { answeredAt: NOW - 1001 }, { joiningIdentities });
      expect(planMembership(unresponsive)).toMatchObject({
        membership: { voters: ['a/1', 'c/1'], learners: [] },
      });
      expect(planMembership({ ...unresponsive, joiningIdentities: [] })).toBeUndefined();
    });

    it('adds a joining identity as a learner only if its host is listed', () => {
      const joiningIdentities = ['d/1'];
      expect(planMembership(planInput({ joiningIdentities }))).toBeUndefined();
      const hosts = ['a', 'b', 'c', 'd'];
      expect(planMembership(planInput({ joiningIdentities, hosts }))).toMatchObject({
        membership: { ...THREE_VOTERS, learners: ['d/1'] },
      });
    });

    it('promotes a learner to voter only once it has caught up and responds', () => {
      const membership = { ...THREE_VOTERS, learners: ['d/1'] };
      const hosts = ['a', 'b', 'c', 'd'];
      const behind = withPeer('d/1', { matchIndex: 35 }, { membership, hosts });
      expect(planMembership(behind)).toBeUndefined();
      const unresponsive = withPeer('d/1', { answeredAt: NOW - 1001 }, { membership, hosts });
      expect(planMembership(unresponsive)).toBeUndefined();
      expect(planMembership(planInput({ membership, hosts }))).toMatchObject({
        membership: { voters: ['a/1', 'b/1', 'c/1', 'd/1'], learners: [] },
      });
    });

    it('loses an unlisted host only once all listed hosts are voters', () => {
      expect(planMembership(planInput({ hosts: ['a', 'b', 'd'] }))).toBeUndefined();
      expect(planMembership(planInput({ hosts: ['a', 'b'] }))).toMatchObject({
        membership: { voters: ['a/1', 'b/1'] },
      });
      expect(planMembership(planInput({ hosts: ['b', 'c'] }))).toEqual({
        kind: 'transfer-leadership',
      });
    });
  });

  describe('bootstrapped by new hosts', () => {
    const hosts = ['a', 'b', 'c'];

    function hello(from: string, isNew = true, list: readonly string[] = hosts): Hello {
      return { kind: 'hello', from, isNew, hosts: list };
    }

    function bootstrap(own: Hello, ...others: readonly Hello[]) {
      const recentHellos = new RecentHellos();
      for (const other of others) recentHellos.record(other, 0);
      return recentHellos.initialMembership(own, 0);
    }

    it('is created by the host listed first, once all listed hosts have sent a hello', () => {
      expect(bootstrap(hello('a/1'), hello('b/1'), hello('c/1'))).toEqual(THREE_VOTERS);
      expect(bootstrap(hello('a/1'), hello('b/1'))).toBeUndefined();
      expect(bootstrap(hello('b/1'), hello('a/1'), hello('c/1'))).toBeUndefined();
    });

    it('is not created with a host that is not new or lists other hosts', () => {
      expect(bootstrap(hello('a/1'), hello('b/1', false), hello('c/1'))).toBeUndefined();
      expect(bootstrap(hello('a/1', false), hello('b/1'), hello('c/1'))).toBeUndefined();
      const other = hello('b/1', true, ['a', 'b']);
      expect(bootstrap(hello('a/1'), other, hello('c/1'))).toBeUndefined();
    });

    it('ignores an expired hello', () => {
      const recentHellos = new RecentHellos();
      recentHellos.record(hello('b/1'), 0);
      recentHellos.record(hello('c/1'), 2001);
      expect(recentHellos.initialMembership(hello('a/1'), 2001)).toBeUndefined();
    });
  });

  describe('applied by members', () => {
    function createMember(): RaftMember {
      const member = new RaftMember({
        self: 'a/1',
        random: new SeededRandom(1),
        membership: THREE_VOTERS,
        hardState: { term: 1, votedFor: undefined },
      });
      member.start(0);
      return member;
    }

    function entry(index: number, term: number, membership = THREE_VOTERS): LogEntry {
      return { index, term, command: '', membership };
    }

    function append(term: number, entries: readonly LogEntry[]): RaftMessage {
      const previous = { previousIndex: 0, previousTerm: 0, commitIndex: 0, sentAt: 0 };
      return { kind: 'append', term, from: 'b/1', entries, ...previous };
    }

    it('is in effect once its entry is appended, until that entry is replaced', () => {
      const member = createMember();
      const larger = { ...THREE_VOTERS, learners: ['d/1'] };
      member.receive(append(2, [entry(1, 2, larger)]), 10);
      expect(member.membership).toEqual(larger);
      member.receive(append(3, [{ index: 1, term: 3, command: '' }]), 20);
      expect(member.membership).toEqual(THREE_VOTERS);
    });

    it('changes one entry at a time, and only after the leader has committed an entry of its term', () => {
      const member = createMember();
      member.tick(1000);
      const vote = { kind: 'vote-answer', from: 'b/1', granted: true } as const;
      member.receive({ ...vote, preVote: true, term: 2 }, 1000);
      member.receive({ ...vote, preVote: false, term: 2 }, 1000);
      expect(member.role).toBe('leader');
      const larger = { ...THREE_VOTERS, learners: ['d/1'] };
      expect(member.changeMembership(larger, 1000)).toBe(false);
      const answer = { kind: 'append-answer', term: 2, from: 'b/1', success: true } as const;
      member.recordSynced(1, 2);
      member.receive({ ...answer, matchIndex: 1, sentAt: 1000 }, 1001);
      expect(member.changeMembership(larger, 1001)).toBe(true);
      expect(member.changeMembership(THREE_VOTERS, 1001)).toBe(false);
      member.recordSynced(2, 2);
      member.receive({ ...answer, matchIndex: 2, sentAt: 1001 }, 1002);
      expect(member.changeMembership(THREE_VOTERS, 1002)).toBe(true);
    });
  });
});
