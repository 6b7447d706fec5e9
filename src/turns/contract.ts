import type { StoreView } from '../cluster';
import type { Reservation, TurnRecord, TurnRow } from './records';

/** Answer of a store that does not serve the requested view. */
export type ViewMismatch =
  /** The store serves a newer view. */
  | { readonly kind: 'stale'; readonly view: StoreView }
  /** The store does not know that view yet, or is not a member of it. */
  | { readonly kind: 'behind' };

/** Request that a store serves only in the view of that epoch. */
interface ViewRequest {
  readonly epoch: number;
}

export interface ReserveRequest extends ViewRequest {
  readonly program: string;
  readonly turn: string;
  /** Upper bound on the tokens that the turn generates. */
  readonly most: number;
  /** Whether the reservation is written to all stores; stores of a former build ignore it. */
  readonly spread?: true;
  /** Other reservations of the program, which the store lacks; a former build ignores them. */
  readonly others?: readonly Reservation[];
}

export interface SettleNotice {
  readonly program: string;
  readonly turn: string;
  /** Tokens that the turn generated; 0 if it did not run. */
  readonly tokens: number;
}

/** A program's reservations at one store. */
export interface ReservationsAnswer {
  readonly kind: 'reservations';
  /** Whether the store has completed its backfill: it holds all that earlier views acknowledged. */
  readonly complete: boolean;
  readonly reservations: readonly Reservation[];
  /** Size up to which the store has memory for another turn; bytes; absent if it is not limited. */
  readonly largestTurnBytes?: number;
}

export interface RecordRequest extends ViewRequest {
  readonly record: TurnRecord;
}

/** Adds turns that a recorded turn continues, directly or indirectly. */
export interface ExtendRequest extends ViewRequest {
  /** Id of the recorded turn. */
  readonly turn: string;
  readonly ancestors: readonly TurnRecord[];
}

export interface RecordAnswer {
  readonly kind: 'kept';
  /** As in {@link ReservationsAnswer}. */
  readonly largestTurnBytes?: number;
  /** Whether the store has completed its backfill; absent on stores of a former build. */
  readonly complete?: boolean;
  /**
   * Id of the nearest turn of the chain that the store does not hold; absent if it holds the whole
   * chain, and on stores of a former build.
   */
  readonly missing?: string | undefined;
}

export interface ChainRequest extends ViewRequest {
  readonly turn: string;
}

export interface ChainAnswer {
  readonly kind: 'chain';
  readonly complete: boolean;
  /** The latest turns of the chain, oldest first; a long chain takes several calls. */
  readonly records: readonly TurnRecord[];
  /** Id of the turn that the oldest record continues, if any; not necessarily held by the store. */
  readonly missing: string | undefined;
}

export interface PullRequest extends ViewRequest {
  /**
   * Names the membership for which the store is asked, present or former, by the epoch at which it
   * joined. Absent from stores of a former build, which ask present members only.
   */
  readonly joined?: number;
  /** Random id of the pull session. */
  readonly filling: string;
  /** Rows already received in this session. */
  readonly offset: number;
  /** Ids of the turns that the requester already stores; empty after the first request. */
  readonly held: readonly string[];
}

export interface PullAnswer {
  readonly kind: 'rows';
  /** Whether the store has completed its backfill since it joined, and knows the session. */
  readonly complete: boolean;
  /** Whether the session is not known any more, so that the pull must be started again. */
  readonly interrupted?: boolean;
  readonly rows: readonly TurnRow[];
  readonly final: boolean;
}

/** Calls and one-way messages to a store, from gateways and other stores. */
export interface TurnContract {
  readonly calls: {
    readonly 'turns.reserve': {
      readonly request: ReserveRequest;
      readonly answer: ReservationsAnswer | ViewMismatch;
    };
    readonly 'turns.reservations': {
      readonly request: ViewRequest & { readonly program: string };
      readonly answer: ReservationsAnswer | ViewMismatch;
    };
    readonly 'turns.record': {
      readonly request: RecordRequest;
      readonly answer: RecordAnswer | ViewMismatch;
    };
    readonly 'turns.extend': {
      readonly request: ExtendRequest;
      readonly answer: RecordAnswer | ViewMismatch;
    };
    readonly 'turns.chain': {
      readonly request: ChainRequest;
      readonly answer: ChainAnswer | ViewMismatch;
    };
    readonly 'turns.pull': {
      readonly request: PullRequest;
      readonly answer: PullAnswer | ViewMismatch;
    };
  };
  readonly casts: {
    /** Reduces the reservation of a turn that is not recorded to the tokens that it generated. */
    readonly 'turns.settle': SettleNotice;
  };
}
