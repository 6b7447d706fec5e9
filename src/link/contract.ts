/** What processes may ask of one another: calls with an answer, and casts without one. */
export interface Contract {
  readonly calls: Readonly<Record<string, { readonly request: unknown; readonly answer: unknown }>>;
  readonly casts: Readonly<Record<string, unknown>>;
}

export type CallName<C extends Contract> = keyof C['calls'] & string;
export type CastName<C extends Contract> = keyof C['casts'] & string;

/** What a process does when it is called; a rejection is passed on to the caller. */
export type CallHandlers<C extends Contract> = {
  readonly [Name in CallName<C>]?: (
    request: C['calls'][Name]['request'],
  ) => C['calls'][Name]['answer'] | Promise<C['calls'][Name]['answer']>;
};

export type CastHandlers<C extends Contract> = {
  readonly [Name in CastName<C>]?: (body: C['casts'][Name]) => void;
};

/** Reaches other processes by address (IP:port). */
export interface Caller<C extends Contract> {
  /** Makes a call; rejects with a LinkError, at the latest after `milliseconds`. */
  call<Name extends CallName<C>>(
    address: string,
    name: Name,
    body: C['calls'][Name]['request'],
    milliseconds: number,
  ): Promise<C['calls'][Name]['answer']>;
  /** Sends what needs no answer; it may be lost. */
  cast<Name extends CastName<C>>(address: string, name: Name, body: C['casts'][Name]): void;
  /** Whether the connection to an address stands. */
  isConnected(address: string): boolean;
}
