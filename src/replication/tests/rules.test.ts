import { SeededRandom } from '../../core';
import type { LogEntry, RaftMessage } from '../messages';
import { RaftMember } from '../raft';

const ELECTION = 500;

function entry(index: number, term: number): LogEntry {
  return { index, term, command: `command ${index}` };
}

function createMember(entries: readonly LogEntry[], term: number): RaftMember {
  const member = new RaftMember({
    self: 'a',
    membership: { voters: ['a', 'b', 'c'], learners: [] },
    random: new SeededRandom(1),
    electionMilliseconds: ELECTION,
    hardState: { term, votedFor: undefined },
    entries,
  });
  member.start(0);
  return member;
}

function voteRequest(term: number, transfer = false): RaftMessage {
  const last = { lastIndex: 9, lastTerm: term - 1 };
  return { kind: 'vote-request', preVote: false, term, from: 'b', ...last, transfer };
}

function appendFrom(term: number, entries: readonly LogEntry[], previous: LogEntry): RaftMessage {
  const { index: previousIndex, term: previousTerm } = previous;
  const base = { kind: 'append', term, from: 'b', commitIndex: 0, sentAt: 0 } as const;
  return { ...base, previousIndex, previousTerm, entries };
}

function sent(member: RaftMember): readonly RaftMessage[] {
  const { messages, messagesAfterSync } = member.takeOutput();
  return [...messages, ...messagesAfterSync].map((envelope) => envelope.message);
}

/** Makes a member leader of the next term with the votes of both peers. */
function elect(member: RaftMember, now: number): number {
  member.tick(now);
  const preVoteTerm = member.term + 1;
  const answer = { kind: 'vote-answer', from: 'b', granted: true } as const;
  member.receive({ ...answer, preVote: true, term: preVoteTerm }, now);
  member.receive({ ...answer, preVote: false, term: preVoteTerm }, now);
  expect(member.role).toBe('leader');
  return member.term;
}

describe('the rules of the replicated log', () => {
  describe('a new leader', () => {
    it('commits entries of earlier terms only with one of its own', () => {
      const member = createMember([entry(1, 1), entry(2, 2)], 3);
      const term = elect(member, ELECTION * 2);
      member.synced(3, term);
      const answer = { kind: 'append-answer', term, from: 'b', success: true, sentAt: 0 } as const;
      member.receive({ ...answer, matchIndex: 2 }, ELECTION * 2);
      expect(member.commitIndex).toBe(0);
      member.receive({ ...answer, matchIndex: 3 }, ELECTION * 2);
      expect(member.commitIndex).toBe(3);
    });

    it('serves no reads before that', () => {
      const member = createMember([], 0);
      elect(member, ELECTION * 2);
      expect(member.hasReadLease(ELECTION * 2)).toBe(false);
    });
  });

  describe('a member that has heard a leader lately', () => {
    it('votes for nobody, so that the read lease of the leader holds', () => {
      const member = createMember([], 1);
      member.receive(appendFrom(1, [], entry(0, 0)), ELECTION * 1.5);
      sent(member);
      member.receive(voteRequest(2), ELECTION * 2);
      expect(sent(member)).toMatchObject([{ kind: 'vote-answer', granted: false }]);
      expect(member.term).toBe(1);
    });

    it('votes if the leader itself asked for the election', () => {
      const member = createMember([], 1);
      member.receive(appendFrom(1, [], entry(0, 0)), ELECTION * 1.5);
      sent(member);
      member.receive(voteRequest(2, true), ELECTION * 2);
      expect(sent(member)).toMatchObject([{ kind: 'vote-answer', granted: true }]);
    });
  });

  describe('a member that has just started', () => {
    it('votes for nobody for an election time, since it may have promised a lease', () => {
      const member = createMember([], 1);
      member.receive(voteRequest(2), ELECTION / 2);
      expect(sent(member)).toMatchObject([{ kind: 'vote-answer', granted: false }]);
    });
  });

  describe('a member whose entries are replaced', () => {
    it('does not count them as synced when it leads afterwards', () => {
      const member = createMember([entry(1, 1), entry(2, 1), entry(3, 1)], 1);
      member.receive(appendFrom(2, [entry(2, 2)], entry(1, 1)), 10);
      const term = elect(member, ELECTION * 4);
      const answer = { kind: 'append-answer', term, from: 'b', success: true, sentAt: 0 } as const;
      member.receive({ ...answer, matchIndex: 3 }, ELECTION * 4);
      expect(member.commitIndex).toBe(0);
    });

    it('ignores a sync of the replaced ones that ends late', () => {
      const member = createMember([entry(1, 1)], 1);
      member.receive(appendFrom(1, [entry(2, 1), entry(3, 1)], entry(1, 1)), 10);
      member.receive(appendFrom(2, [entry(2, 2)], entry(1, 1)), 20);
      const term = elect(member, ELECTION * 4);
      member.synced(3, 1);
      const answer = { kind: 'append-answer', term, from: 'b', success: true, sentAt: 0 } as const;
      member.receive({ ...answer, matchIndex: 3 }, ELECTION * 4);
      expect(member.commitIndex).toBe(0);
    });
  });
});
