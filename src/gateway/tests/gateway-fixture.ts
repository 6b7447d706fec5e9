import { type Address, Metrics, SystemClock, createSilentLogger } from '../../core';
import { RouteTable } from '../../routes';
import {
  type Forwarder,
  GatewayServer,
  type QuotaGate,
  UNLIMITED_ADMISSION,
  type WireFormat,
} from '..';

const WIRE: WireFormat = {
  readRequest: () => ({
    id: 'r1',
    timeoutMilliseconds: undefined,
    key: undefined,
    program: undefined,
    programMilliseconds: undefined,
    budget: undefined,
    previousTurn: undefined,
    promptTokens: 0,
    maxTokens: 0,
    parts: [],
  }),
  readResponse: () => ({ requestId: 'r1', isSigned: true, isNotRun: false, isEncoded: false }),
  buildTargetHeaders: () => [],
};

const TABLE = new RouteTable({
  version: 1,
  routes: [
    {
      name: 'r',
      host: 'h',
      pathPrefix: '/',
      kind: 'repeatable',
      timeoutMilliseconds: 10_000,
      targetLatencyMilliseconds: 100,
      priority: 0,
      services: [{ service: 's', weight: 1 }],
      attempts: 1,
      isResumable: false,
      retentionSeconds: undefined,
      isPublic: false,
    },
  ],
  services: [],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 1000,
    headerMilliseconds: 3000,
    idleMilliseconds: 15_000,
  },
  teams: undefined,
});

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
  return new GatewayServer({
    address,
    wire: WIRE,
    forwarder: { forward } as unknown as Forwarder,
    turnHandler: { handle: () => Promise.resolve() },
    keyGuard: { admit: () => Promise.resolve(undefined) },
    quotaGate: { requestAdmission: () => UNLIMITED_ADMISSION } as unknown as QuotaGate,
    routes: () => (isConfigured ? TABLE : undefined),
    confirmation: { waitForConfirmation: () => Promise.resolve(true), waiterCount: 0 },
    isReady,
    clock: new SystemClock(),
    logger: createSilentLogger(),
    metrics: new Metrics(),
  });
}
