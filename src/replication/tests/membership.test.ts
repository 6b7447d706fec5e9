import { SeededRandom } from '../../core';
import { Greetings } from '../greetings';
import { type MembershipView, planMembership } from '../membership-plan';
import type { Membership } from '../membership';
import type { Hello, LogEntry, RaftMessage } from '../messages';
import { RaftMember } from '../raft';

const THREE: Membership = { voters: ['a/1', 'b/1', 'c/1'], learners: [] };
const NOW = 10_000;

describe('the membership of a replicated log', () => {
  describe('as its leader plans it', () => {
    function view(changed: Partial<MembershipView> = {}): MembershipView {
      const answered = { nextIndex: 101, matchIndex: 100, inFlight: false, installing: false };
      const peers = ['b/1', 'c/1', 'd/1', 'b/2'].map(
        (peer) => [peer, { ...answered, answeredAt: NOW }] as const,
      );
      return {
        self: 'a/1',
        membership: THREE,
        peers: new Map(peers),
        hosts: ['a', 'b', 'c'],
        newcomers: [],
        commitIndex: 100,
        now: NOW,
        silenceMilliseconds: 1000,
        ...changed,
      };
    }

    /** The view with one peer's progress replaced. */
    function withPeer(peer: string, progress: object, changed: Partial<MembershipView>) {
      const base = view(changed);
      const known = base.peers.get(peer) ?? base.peers.get('b/1');
      const peers = new Map(base.peers);
      if (known !== undefined) peers.set(peer, { ...known, ...progress });
      return { ...base, peers };
    }

    it('stays as it is while every host listed votes', () => {
      expect(planMembership(view())).toBeUndefined();
    });

    it('removes a silent member whose host came back without its disk, and no other', () => {
      const newcomers = ['b/2'];
      expect(planMembership(view({ newcomers }))).toBeUndefined();
      const silent = withPeer('b/1', { answeredAt: NOW - 1001 }, { newcomers });
      expect(planMembership(silent)).toMatchObject({
        membership: { voters: ['a/1', 'c/1'], learners: [] },
      });
      expect(planMembership({ ...silent, newcomers: [] })).toBeUndefined();
    });

    it('takes a newcomer in as a learner, if its host is listed', () => {
      const newcomers = ['d/1'];
      expect(planMembership(view({ newcomers }))).toBeUndefined();
      const hosts = ['a', 'b', 'c', 'd'];
      expect(planMembership(view({ newcomers, hosts }))).toMatchObject({
        membership: { ...THREE, learners: ['d/1'] },
      });
    });

    it('lets a learner vote once it has caught up, and answers', () => {
      const membership = { ...THREE, learners: ['d/1'] };
      const hosts = ['a', 'b', 'c', 'd'];
      const behind = withPeer('d/1', { matchIndex: 35 }, { membership, hosts });
      expect(planMembership(behind)).toBeUndefined();
      const silent = withPeer('d/1', { answeredAt: NOW - 1001 }, { membership, hosts });
      expect(planMembership(silent)).toBeUndefined();
      expect(planMembership(view({ membership, hosts }))).toMatchObject({
        membership: { voters: ['a/1', 'b/1', 'c/1', 'd/1'], learners: [] },
      });
    });

    it('removes a host that is no longer listed only once all that are listed vote', () => {
      expect(planMembership(view({ hosts: ['a', 'b', 'd'] }))).toBeUndefined();
      expect(planMembership(view({ hosts: ['a', 'b'] }))).toMatchObject({
        membership: { voters: ['a/1', 'b/1'] },
      });
      expect(planMembership(view({ hosts: ['b', 'c'] }))).toEqual({ kind: 'hand-over' });
    });
  });

  describe('as new hosts found it', () => {
    const hosts = ['a', 'b', 'c'];

    function hello(from: string, isNew = true, list: readonly string[] = hosts): Hello {
      return { kind: 'hello', from, isNew, hosts: list };
    }

    function found(own: Hello, ...others: readonly Hello[]) {
      const greetings = new Greetings();
      for (const other of others) greetings.hear(other, 0);
      return greetings.foundingMembership(own, 0);
    }

    it('needs all of them, and the first one listed', () => {
      expect(found(hello('a/1'), hello('b/1'), hello('c/1'))).toEqual(THREE);
      expect(found(hello('a/1'), hello('b/1'))).toBeUndefined();
      expect(found(hello('b/1'), hello('a/1'), hello('c/1'))).toBeUndefined();
    });

    it('counts no host that holds something, nor one that lists others', () => {
      expect(found(hello('a/1'), hello('b/1', false), hello('c/1'))).toBeUndefined();
      expect(found(hello('a/1', false), hello('b/1'), hello('c/1'))).toBeUndefined();
      const other = hello('b/1', true, ['a', 'b']);
      expect(found(hello('a/1'), other, hello('c/1'))).toBeUndefined();
    });

    it('forgets a greeting after a while', () => {
      const greetings = new Greetings();
      greetings.hear(hello('b/1'), 0);
      greetings.hear(hello('c/1'), 2001);
      expect(greetings.foundingMembership(hello('a/1'), 2001)).toBeUndefined();
    });
  });

  describe('as members follow it', () => {
    function createMember(): RaftMember {
      const member = new RaftMember({
        self: 'a/1',
        random: new SeededRandom(1),
        membership: THREE,
        hardState: { term: 1, votedFor: undefined },
      });
      member.start(0);
      return member;
    }

    function entry(index: number, term: number, membership = THREE): LogEntry {
      return { index, term, command: '', membership };
    }

    function append(term: number, entries: readonly LogEntry[]): RaftMessage {
      const previous = { previousIndex: 0, previousTerm: 0, commitIndex: 0, sentAt: 0 };
      return { kind: 'append', term, from: 'b/1', entries, ...previous };
    }

    it('is in force from the entry that brings it, and no longer once that is replaced', () => {
      const member = createMember();
      const larger = { ...THREE, learners: ['d/1'] };
      member.receive(append(2, [entry(1, 2, larger)]), 10);
      expect(member.membership).toEqual(larger);
      member.receive(append(3, [{ index: 1, term: 3, command: '' }]), 20);
      expect(member.membership).toEqual(THREE);
    });

    it('changes by one entry at a time, and not before the leader has committed one', () => {
      const member = createMember();
      member.tick(1000);
      const vote = { kind: 'vote-answer', from: 'b/1', granted: true } as const;
      member.receive({ ...vote, preVote: true, term: 2 }, 1000);
      member.receive({ ...vote, preVote: false, term: 2 }, 1000);
      expect(member.role).toBe('leader');
      const larger = { ...THREE, learners: ['d/1'] };
      expect(member.changeMembership(larger, 1000)).toBe(false);
      const answer = { kind: 'append-answer', term: 2, from: 'b/1', success: true } as const;
      member.synced(1, 2);
      member.receive({ ...answer, matchIndex: 1, sentAt: 1000 }, 1001);
      expect(member.changeMembership(larger, 1001)).toBe(true);
      expect(member.changeMembership(THREE, 1001)).toBe(false);
      member.synced(2, 2);
      member.receive({ ...answer, matchIndex: 2, sentAt: 1001 }, 1002);
      expect(member.changeMembership(THREE, 1002)).toBe(true);
    });
  });
});
