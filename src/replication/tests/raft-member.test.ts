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

  // Guards against a leader that fills its link with entries that are on their way already, so that
  // heartbeats are late and its followers elect another leader.
  describe('a leader with an append in flight', () => {
    const HEARTBEAT_MILLISECONDS = 100;

    /** A leader that has sent `commands` to `b`, and the time at which it sends its next heartbeat. */
    function lead(commands: readonly string[]) {
      const member = createMember([], 0);
      const electedAt = ELECTION_MILLISECONDS * 2;
      const term = elect(member, electedAt);
      const acknowledge = (matchIndex: number, success: boolean, sentAt: number) => {
        const answer = { kind: 'append-answer', from: 'b', term, matchIndex, success } as const;
        member.receive({ ...answer, sentAt }, sentAt);
      };
      takeAppends(member);
      acknowledge(1, true, electedAt);
      for (const command of commands) member.propose(command, electedAt);
      const heartbeatAt = electedAt + HEARTBEAT_MILLISECONDS;
      return { member, acknowledge, heartbeatAt, sent: takeAppends(member) };
    }

    /** Entries of the appends to `b` since the last call. */
    function takeAppends(member: RaftMember): readonly (readonly LogEntry[])[] {
      return member
        .takeOutput()
        .messages.filter(({ to }) => to === 'b')
        .flatMap(({ message }) => (message.kind === 'append' ? [message.entries] : []));
    }

    it('sends heartbeats without entries', () => {
      const { member, heartbeatAt, sent } = lead(['large']);
      expect(sent).toMatchObject([[{ command: 'large' }]]);
      member.tick(heartbeatAt);
      member.tick(heartbeatAt + HEARTBEAT_MILLISECONDS);
      expect(takeAppends(member)).toEqual([[], []]);
    });

    it('sends the entries again once a heartbeat shows that they were lost', () => {
      const { member, acknowledge, heartbeatAt } = lead(['large']);
      member.tick(heartbeatAt);
      takeAppends(member);
      acknowledge(1, false, heartbeatAt);
      expect(takeAppends(member)).toMatchObject([[{ command: 'large' }]]);
    });

    it('does not send them again for an answer to an earlier heartbeat', () => {
      const { member, acknowledge, heartbeatAt } = lead(['large']);
      acknowledge(1, true, heartbeatAt - HEARTBEAT_MILLISECONDS);
      acknowledge(1, false, heartbeatAt - HEARTBEAT_MILLISECONDS - 1);
      expect(takeAppends(member)).toEqual([]);
    });

    it('sends the next entries once the append is acknowledged', () => {
      const { member, acknowledge, heartbeatAt } = lead(['first', 'second', 'third']);
      acknowledge(2, true, heartbeatAt);
      expect(takeAppends(member)).toMatchObject([[{ command: 'second' }, { command: 'third' }]]);
    });

    it('bounds the size of an append, but sends an entry of any size', () => {
      const large = 'x'.repeat(400_000);
      const { member, acknowledge, heartbeatAt } = lead([
        'first',
        large,
        large,
        `${large}${large}`,
      ]);
      const sizes: number[][] = [];
      for (const index of [2, 3, 4]) {
        acknowledge(index, true, heartbeatAt);
        for (const entries of takeAppends(member)) {
          sizes.push(entries.map(({ command }) => command.length));
        }
      }
      expect(sizes).toEqual([[400_000], [400_000], [800_000]]);
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
