import type { StoreView } from '../cluster';
import type { Reservation, TurnRecord, TurnRow } from './records';

/** Answer of a store that does not serve the view that the asker named. */
export type ViewMismatch =
  /** The store serves a newer view. */
  | { readonly kind: 'stale'; readonly view: StoreView }
  /** The store does not know that view yet, or does not take part in it. */
  | { readonly kind: 'behind' };

/** What an asker and a store must agree on: the epoch of the stores in use. */
interface InView {
  readonly epoch: number;
}

export interface ReserveRequest extends InView {
  readonly program: string;
  readonly turn: string;
  /** Tokens that the turn may generate at most. */
  readonly most: number;
}

export interface SettleNotice {
  readonly program: string;
  readonly turn: string;
  /** 0 for a turn that was not run. */
  readonly tokens: number;
}

/** Reservations of a program, as one store knows them. */
export interface ReservationsAnswer {
  readonly kind: 'reservations';
  /** Whether the store holds everything that was acknowledged in earlier views. */
  readonly complete: boolean;
  readonly reservations: readonly Reservation[];
}

export interface RecordRequest extends InView {
  readonly record: TurnRecord;
}

export interface ChainRequest extends InView {
  readonly turn: string;
}

export interface ChainAnswer {
  readonly kind: 'chain';
  readonly complete: boolean;
  readonly records: readonly TurnRecord[];
  readonly missing: string | undefined;
}

export interface PullRequest extends InView {
  /** Chosen by the asker for one filling. */
  readonly filling: string;
  /** Rows that the asker has had from this store in this filling. */
  readonly offset: number;
  /** Turns that the asker holds already; sent with the first request. */
  readonly held: readonly string[];
}

export interface PullAnswer {
  readonly kind: 'rows';
  readonly complete: boolean;
  readonly rows: readonly TurnRow[];
  readonly final: boolean;
}

/** What gateways ask of stores, and stores of one another. */
export interface TurnContract {
  readonly calls: {
    readonly 'turns.reserve': {
      readonly request: ReserveRequest;
      readonly answer: ReservationsAnswer | ViewMismatch;
    };
    readonly 'turns.reservations': {
      readonly request: InView & { readonly program: string };
      readonly answer: ReservationsAnswer | ViewMismatch;
    };
    readonly 'turns.record': {
      readonly request: RecordRequest;
      readonly answer: { readonly kind: 'kept' } | ViewMismatch;
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
    /** Tells what a turn that is not kept has generated, so that its reservation shrinks to that. */
    readonly 'turns.settle': SettleNotice;
  };
}
