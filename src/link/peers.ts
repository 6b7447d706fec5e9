import { type Clock, type Component, type Logger, parseAddress } from '../core';
import type { CallName, Caller, CastName, Contract } from './contract';
import { PeerConnection } from './peer';

export interface PeerConnectionsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The connections of this process to others, by address. */
export class Peers<C extends Contract> implements Component, Caller<C> {
  readonly #options: PeerConnectionsOptions;
  readonly #peers = new Map<string, PeerConnection>();

  constructor(options: PeerConnectionsOptions) {
    this.#options = options;
  }

  /** Calls a process at `address` (IP:port); rejects with a LinkError. */
  call<Name extends CallName<C>>(
    address: string,
    name: Name,
    body: C['calls'][Name]['request'],
    milliseconds: number,
  ): Promise<C['calls'][Name]['answer']> {
    return this.#peer(address).call(name, body, milliseconds);
  }

  /** Sends what needs no answer; it may be lost. */
  cast<Name extends CastName<C>>(address: string, name: Name, body: C['casts'][Name]): void {
    this.#peer(address).cast(name, body);
  }

  /** Whether the connection to an address stands. */
  isConnected(address: string): boolean {
    return this.#peers.get(address)?.connected ?? false;
  }

  /** Closes the connections to addresses that are not kept. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [address, peer] of this.#peers) {
      if (addresses.has(address)) continue;
      this.#peers.delete(address);
      peer.close();
    }
  }

  stop(): void {
    for (const peer of this.#peers.values()) peer.close();
    this.#peers.clear();
  }

  #peer(address: string): PeerConnection {
    const existing = this.#peers.get(address);
    if (existing !== undefined) return existing;
    const { clock, logger } = this.#options;
    let stated: boolean | undefined;
    const peer = new PeerConnection({
      address: parseAddress(address),
      clock,
      onState: (connected, reason) => {
        if (stated === connected) return;
        stated = connected;
        const event = connected ? 'peer-connected' : 'peer-lost';
        logger.info({ event, peer: address, reason });
      },
    });
    this.#peers.set(address, peer);
    return peer;
  }
}
