import { SeededRandom } from '../../core';
import type { LogEntry, RaftMessage } from '../messages';
import { RaftMember } from '../raft-member';

const ELECTION_MILLISECONDS = 500;

function entry(index: number, term: number): LogEntry {
  return { index, term, command: `command ${index}` };
}

function createMember(entries: readonly LogEntry[], term: number): RaftMember {
  const member = new RaftMember({
    self: 'a',
    membership: { voters: ['a', 'b', 'c'], learners: [] },
    random: new SeededRandom(1),
    electionMilliseconds: ELECTION_MILLISECONDS,
    hardState: { term, votedFor: undefined },
    entries,
  });
  member.start(0);
  return member;
}

function voteRequest(term: number, transfer = false): RaftMessage {
  const logEnd = { lastIndex: 9, lastTerm: term - 1 };
  return { kind: 'vote-request', preVote: false, term, from: 'b', ...logEnd, transfer };
}

function appendFrom(term: number, entries: readonly LogEntry[], previous: LogEntry): RaftMessage {
  const { index: previousIndex, term: previousTerm } = previous;
  const base = { kind: 'append', term, from: 'b', commitIndex: 0, sentAt: 0 } as const;
  return { ...base, previousIndex, previousTerm, entries };
}

function takeSentMessages(member: RaftMember): readonly RaftMessage[] {
  const { messages, messagesAfterSync } = member.takeOutput();
  return [...messages, ...messagesAfterSync].map((envelope) => envelope.message);
}

/** Makes a member the leader of the next term with the vote of one peer. */
function elect(member: RaftMember, now: number): number {
  member.tick(now);
  const preVoteTerm = member.term + 1;
  const answer = { kind: 'vote-answer', from: 'b', granted: true } as const;
  member.receive({ ...answer, preVote: true, term: preVoteTerm }, now);
  member.receive({ ...answer, preVote: false, term: preVoteTerm }, now);
  expect(member.role).toBe('leader');
  return member.term;
}

describe('RaftMember', () => {
  describe('a new leader', () => {
    it('commits entries of earlier terms only together with an entry of its own term', () => {
      const member = createMember([entry(1, 1), entry(2, 2)], 3);
      const term = elect(member, ELECTION_MILLISECONDS * 2);
      member.recordSynced(3, term);
      const answer = { kind: 'append-answer', term, from: 'b', success: true, sentAt: 0 } as const;
      member.receive({ ...answer, matchIndex: 2 }, ELECTION_MILLISECONDS * 2);
      expect(member.commitIndex).toBe(0);
      member.receive({ ...answer, matchIndex: 3 }, ELECTION_MILLISECONDS * 2);
      expect(member.commitIndex).toBe(3);
    });

    it('has no read lease before an entry of its own term is committed', () => {
      const member = createMember([], 0);
      elect(member, ELECTION_MILLISECONDS * 2);
      expect(member.hasReadLease(ELECTION_MILLISECONDS * 2)).toBe(false);
    });
  });

  describe('a member with recent leader contact', () => {
    it('denies votes, so that the read lease of the leader stays valid', () => {
      const member = createMember([], 1);
      member.receive(appendFrom(1, [], entry(0, 0)), ELECTION_MILLISECONDS * 1.5);
      takeSentMessages(member);
      member.receive(voteRequest(2), ELECTION_MILLISECONDS * 2);
      expect(takeSentMessages(member)).toMatchObject([{ kind: 'vote-answer', granted: false }]);
      expect(member.term).toBe(1);
    });

    it('grants a vote if the leader requested the election as a leadership transfer', () => {
      const member = createMember([], 1);
      member.receive(appendFrom(1, [], entry(0, 0)), ELECTION_MILLISECONDS * 1.5);
      takeSentMessages(member);
      member.receive(voteRequest(2, true), ELECTION_MILLISECONDS * 2);
      expect(takeSentMessages(member)).toMatchObject([{ kind: 'vote-answer', granted: true }]);
    });
  });

  describe('a member that has just started', () => {
    it('denies votes for one election timeout, since a read lease may still be valid', () => {
      const member = createMember([], 1);
      member.receive(voteRequest(2), ELECTION_MILLISECONDS / 2);
      expect(takeSentMessages(member)).toMatchObject([{ kind: 'vote-answer', granted: false }]);
    });
  });

  describe('a member whose entries were replaced by another leader', () => {
    it('does not count the replaced entries as synced when it becomes leader', () => {
      const member = createMember([entry(1, 1), entry(2, 1), entry(3, 1)], 1);
      member.receive(appendFrom(2, [entry(2, 2)], entry(1, 1)), 10);
      const term = elect(member, ELECTION_MILLISECONDS * 4);
      const answer = { kind: 'append-answer', term, from: 'b', success: true, sentAt: 0 } as const;
      member.receive({ ...answer, matchIndex: 3 }, ELECTION_MILLISECONDS * 4);
      expect(member.commitIndex).toBe(0);
    });

    it('ignores the late sync of replaced entries', () => {
      const member = createMember([entry(1, 1)], 1);
      member.receive(appendFrom(1, [entry(2, 1), entry(3, 1)], entry(1, 1)), 10);
      member.receive(appendFrom(2, [entry(2, 2)], entry(1, 1)), 20);
      const term = elect(member, ELECTION_MILLISECONDS * 4);
      member.recordSynced(3, 1);
      const answer = { kind: 'append-answer', term, from: 'b', success: true, sentAt: 0 } as const;
      member.receive({ ...answer, matchIndex: 3 }, ELECTION_MILLISECONDS * 4);
      expect(member.commitIndex).toBe(0);
    });
  });
});
