import type { Address } from '../../core';
import type { Forwarder, GatewayServer } from '..';
import { createServer, createTable } from './server-fixture';

export interface GatewayFixtureOptions {
  readonly address: Address;
  /** Answers the requests for host `h`, for which there is one route. */
  readonly forward: () => Promise<unknown>;
  readonly isReady?: () => boolean;
  /** Whether a configuration is known. */
  readonly isConfigured?: boolean;
}

/** A gateway server with one route and a scripted forwarder. */
export function createGatewayServer({
  address,
  forward,
  isReady = () => true,
  isConfigured = true,
}: GatewayFixtureOptions): GatewayServer {
  const table = isConfigured ? createTable() : undefined;
  const forwarder = { forward } as unknown as Forwarder;
  return createServer({ address, forwarder, isReady, routes: () => table });
}
