import type { LogPosition } from './entries';
import { type Membership, quorumOf } from './membership';
import type { HardState, VoteAnswer, VoteRequest } from './messages';
import type { Outbox } from './outbox';

/** How a member stands for election. */
export interface Candidacy {
  /** Asks whether a vote would be granted, without any member changing its term. */
  readonly preVote: boolean;
  /** The leader asked for this election. */
  readonly transfer: boolean;
}

/** A member's term, the vote it gave there and the votes it got. */
export class Ballot {
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

  /** Enters a term that another member is in, where no vote was given yet. */
  enter(term: number): void {
    if (term <= this.#term) return;
    this.#term = term;
    this.#votedFor = undefined;
    this.#outbox.hardStateChanged();
  }

  /** Stands for election and asks the other voters, telling where the own log ends. */
  stand({ preVote, transfer }: Candidacy, voters: readonly string[], logEnd: LogPosition): void {
    this.#votes.clear();
    this.#votes.add(this.#self);
    if (!preVote) {
      this.enter(this.#term + 1);
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

  /** Takes an answer to what this member last asked. */
  take(answer: VoteAnswer): void {
    const term = answer.preVote ? this.#term + 1 : this.#term;
    if (answer.granted && answer.term === term) this.#votes.add(answer.from);
  }

  isWon(membership: Membership): boolean {
    const votes = membership.voters.filter((voter) => this.#votes.has(voter));
    return votes.length >= quorumOf(membership);
  }

  /** Whether the vote that is asked for was not given to another member. */
  isFreeFor({ preVote, term, from }: VoteRequest): boolean {
    if (preVote) return term > this.#term;
    return term === this.#term && (this.#votedFor === undefined || this.#votedFor === from);
  }

  /** Answers a request for a vote, and gives it if it is granted. */
  answer({ preVote, term, from }: VoteRequest, granted: boolean): void {
    if (granted && !preVote) {
      this.#votedFor = from;
      this.#outbox.hardStateChanged();
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
