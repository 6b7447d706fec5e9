import type { LogPosition } from './entry-list';
import { type Membership, quorumOf } from './membership';
import type { HardState, VoteAnswer, VoteRequest } from './messages';
import type { Outbox } from './outbox';

/** The kind of campaign that a vote request belongs to. */
export interface CampaignKind {
  /** Asks whether a vote would be granted; no member changes its term. */
  readonly preVote: boolean;
  /** Requested by the present leader as a leadership transfer. */
  readonly transfer: boolean;
}

/** A member's term, its vote in that term and the votes it received. */
export class ElectionState {
  readonly #self: string;
  readonly #outbox: Outbox;
  readonly #votes = new Set<string>();
  #term: number;
  #votedFor: string | undefined;

  constructor(self: string, outbox: Outbox, hardState?: HardState) {
    this.#self = self;
    this.#outbox = outbox;
    this.#term = hardState?.term ?? 0;
    this.#votedFor = hardState?.votedFor;
  }

  get term(): number {
    return this.#term;
  }

  get hardState(): HardState {
    return { term: this.#term, votedFor: this.#votedFor };
  }

  /** Moves to a newer term and clears the vote; does nothing for an older or equal term. */
  advanceToTerm(term: number): void {
    if (term <= this.#term) return;
    this.#term = term;
    this.#votedFor = undefined;
    this.#outbox.markHardStateChanged();
  }

  /** Starts a campaign: votes for itself and requests the votes of the other voters. */
  requestVotes(
    { preVote, transfer }: CampaignKind,
    voters: readonly string[],
    logEnd: LogPosition,
  ): void {
    this.#votes.clear();
    this.#votes.add(this.#self);
    if (!preVote) {
      this.advanceToTerm(this.#term + 1);
      this.#votedFor = this.#self;
    }
    for (const peer of voters) {
      if (peer === this.#self) continue;
      this.#outbox.sendAfterSync(peer, {
        kind: 'vote-request',
        preVote,
        term: preVote ? this.#term + 1 : this.#term,
        from: this.#self,
        lastIndex: logEnd.index,
        lastTerm: logEnd.term,
        transfer,
      });
    }
  }

  /** Counts a vote granted for the current campaign; ignores answers of other terms. */
  recordAnswer(answer: VoteAnswer): void {
    const term = answer.preVote ? this.#term + 1 : this.#term;
    if (answer.granted && answer.term === term) this.#votes.add(answer.from);
  }

  isWon(membership: Membership): boolean {
    const granted = membership.voters.filter((voter) => this.#votes.has(voter));
    return granted.length >= quorumOf(membership);
  }

  /** Whether the requested vote has not been given to another member. */
  canVoteFor({ preVote, term, from }: VoteRequest): boolean {
    if (preVote) return term > this.#term;
    return term === this.#term && (this.#votedFor === undefined || this.#votedFor === from);
  }

  /** Answers a vote request once the vote, if granted, is synced. */
  answerRequest({ preVote, term, from }: VoteRequest, granted: boolean): void {
    if (granted && !preVote) {
      this.#votedFor = from;
      this.#outbox.markHardStateChanged();
    }
    this.#outbox.sendAfterSync(from, {
      kind: 'vote-answer',
      preVote,
      term: granted && preVote ? term : this.#term,
      from: this.#self,
      granted,
    });
  }
}
