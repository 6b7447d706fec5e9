import { type Clock, type Component, type Logger, parseAddress } from '../core';
import type { CallName, CastName, ConfirmingRpcClient, RpcContract } from './contract';
import { PeerConnection } from './peer-connection';

export interface PeerConnectionsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Connections of this process to others, by address; opened by the first call or cast. */
export class PeerConnections<C extends RpcContract> implements Component, ConfirmingRpcClient<C> {
  readonly #options: PeerConnectionsOptions;
  readonly #connections = new Map<string, PeerConnection>();

  constructor(options: PeerConnectionsOptions) {
    this.#options = options;
  }

  /** Calls the process at `address` (IP:port); rejects with an {@link RpcError}. */
  call<Name extends CallName<C>>(
    address: string,
    name: Name,
    body: C['calls'][Name]['request'],
    milliseconds: number,
  ): Promise<C['calls'][Name]['answer']> {
    return this.#connectionTo(address).call(name, body, milliseconds);
  }

  /** Sends a one-way message, which may be lost. */
  cast<Name extends CastName<C>>(address: string, name: Name, body: C['casts'][Name]): void {
    this.#connectionTo(address).cast(name, body);
  }

  castConfirmed<Name extends CastName<C>>(
    address: string,
    name: Name,
    body: C['casts'][Name],
  ): Promise<void> {
    return this.#connectionTo(address).castConfirmed(name, body);
  }

  /** Whether the connection to `address` is open. */
  isConnected(address: string): boolean {
    return this.#connections.get(address)?.connected ?? false;
  }

  /** Bytes that wait to be sent, over all connections. */
  get queuedBytes(): number {
    return [...this.#connections.values()].reduce((sum, { queuedBytes }) => sum + queuedBytes, 0);
  }

  /** Closes the connections to all other addresses. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [address, connection] of this.#connections) {
      if (addresses.has(address)) continue;
      this.#connections.delete(address);
      connection.close();
    }
  }

  stop(): void {
    for (const connection of this.#connections.values()) connection.close();
    this.#connections.clear();
  }

  #connectionTo(address: string): PeerConnection {
    const existing = this.#connections.get(address);
    if (existing !== undefined) return existing;
    const { clock, logger } = this.#options;
    let reported: boolean | undefined;
    const connection = new PeerConnection({
      address: parseAddress(address),
      clock,
      onState: (connected, reason) => {
        if (reported === connected) return;
        reported = connected;
        const event = connected ? 'peer-connected' : 'peer-lost';
        logger.info({ event, peer: address, reason });
      },
    });
    this.#connections.set(address, connection);
    return connection;
  }
}
