import { type IncomingMessage, request } from 'node:http';
import { type Address, Metrics, SystemClock, createSilentLogger } from '../../core';
import { findFreeAddresses } from '../../local';
import { RouteTable } from '../../routes';
import {
  UNLIMITED_ADMISSION,
  type Forwarder,
  GatewayServer,
  type QuotaGate,
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

/** Blocks its only request until `release` is called. */
class BlockingForwarder {
  readonly arrived: Promise<void>;
  release: () => void = () => undefined;
  #arrive: () => void = () => undefined;

  constructor() {
    this.arrived = new Promise((resolve) => {
      this.#arrive = resolve;
    });
  }

  async forward() {
    const released = new Promise<void>((resolve) => {
      this.release = resolve;
    });
    this.#arrive();
    await released;
    return { kind: 'answered', status: 200, headers: [], body: Buffer.from('done') } as const;
  }
}

function sendRequest({ host, port }: Address): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const clientRequest = request({ host, port, agent: false, path: '/a', headers: { host: 'h' } });
    clientRequest.once('response', (response) => {
      response.resume();
      response.once('end', () => {
        resolve(response);
      });
    });
    clientRequest.once('error', reject);
    clientRequest.end();
  });
}

describe('a draining gateway', () => {
  it('completes the request in progress and accepts no other', async () => {
    const [address] = await findFreeAddresses(['127.0.0.1']);
    if (address === undefined) throw new Error('no free address');
    const forwarder = new BlockingForwarder();
    const server = new GatewayServer({
      address,
      wire: WIRE,
      forwarder: forwarder as unknown as Forwarder,
      turnHandler: { handle: () => Promise.resolve() },
      keyGuard: { admit: () => Promise.resolve(undefined) },
      quotaGate: { requestAdmission: () => UNLIMITED_ADMISSION } as unknown as QuotaGate,
      routes: () => TABLE,
      isReady: () => false,
      clock: new SystemClock(),
      logger: createSilentLogger(),
      metrics: new Metrics(),
    });
    await server.start();
    const pending = sendRequest(address);
    await forwarder.arrived;
    server.refuseNewRequests();
    await expect(sendRequest(address)).rejects.toThrow('ECONNREFUSED');
    forwarder.release();
    const response = await pending;
    expect([response.statusCode, response.headers.connection]).toEqual([200, 'close']);
    await server.whenIdle();
    server.stop();
  });
});
