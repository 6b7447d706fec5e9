/** Messages of an RPC service: calls have a response, casts are one-way. */
export interface RpcContract {
  readonly calls: Readonly<Record<string, { readonly request: unknown; readonly answer: unknown }>>;
  readonly casts: Readonly<Record<string, unknown>>;
}

export type CallName<C extends RpcContract> = keyof C['calls'] & string;
export type CastName<C extends RpcContract> = keyof C['casts'] & string;

/** Handlers of calls; the message of a rejection is returned to the calling process. */
export type CallHandlers<C extends RpcContract> = {
  readonly [Name in CallName<C>]?: (
    request: C['calls'][Name]['request'],
  ) => C['calls'][Name]['answer'] | Promise<C['calls'][Name]['answer']>;
};

export type CastHandlers<C extends RpcContract> = {
  readonly [Name in CastName<C>]?: (body: C['casts'][Name]) => void;
};

/** Client for calls and casts to other processes by address (IP:port). */
export interface RpcClient<C extends RpcContract> {
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

/** Client that also tells whether a one-way message has arrived. */
export interface ConfirmingRpcClient<C extends RpcContract> extends RpcClient<C> {
  /**
   * Resolves once the process at `address` has read the message; rejects with an RpcError if that
   * is not certain.
   */
  castConfirmed<Name extends CastName<C>>(
    address: string,
    name: Name,
    body: C['casts'][Name],
  ): Promise<void>;
}
