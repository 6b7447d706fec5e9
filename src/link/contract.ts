/** Messages of an RPC service: calls have a response, casts are one-way. */
export interface Contract {
  readonly calls: Readonly<Record<string, { readonly request: unknown; readonly answer: unknown }>>;
  readonly casts: Readonly<Record<string, unknown>>;
}

export type CallName<C extends Contract> = keyof C['calls'] & string;
export type CastName<C extends Contract> = keyof C['casts'] & string;

/** Handlers of calls; the message of a rejection is returned to the calling process. */
export type CallHandlers<C extends Contract> = {
  readonly [Name in CallName<C>]?: (
    request: C['calls'][Name]['request'],
  ) => C['calls'][Name]['answer'] | Promise<C['calls'][Name]['answer']>;
};

export type CastHandlers<C extends Contract> = {
  readonly [Name in CastName<C>]?: (body: C['casts'][Name]) => void;
};

/** Client for calls and casts to other processes by address (IP:port). */
export interface Caller<C extends Contract> {
  /** Rejects with an RpcError, after `milliseconds` at the latest. */
  call<Name extends CallName<C>>(
    address: string,
    name: Name,
    body: C['calls'][Name]['request'],
    milliseconds: number,
  ): Promise<C['calls'][Name]['answer']>;
  /** Sends a one-way message, which may be lost. */
  cast<Name extends CastName<C>>(address: string, name: Name, body: C['casts'][Name]): void;
  /** Whether the connection to `address` is open. */
  isConnected(address: string): boolean;
}
