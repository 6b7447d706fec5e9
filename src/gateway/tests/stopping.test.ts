import { type IncomingMessage, request } from 'node:http';
import { type Address, Metrics, SystemClock, createSilentLogger } from '../../core';
import { findFreeAddresses } from '../../local';
import { RouteTable } from '../../routes';
import { FREE_PASS, type Forwarder, GatewayServer, type QuotaGate, type Wire } from '..';

const WIRE: Wire = {
  readRequest: () => ({
    id: 'r1',
    waitMilliseconds: undefined,
    key: undefined,
    program: undefined,
    programMilliseconds: undefined,
    budget: undefined,
    previousTurn: undefined,
    promptTokens: 0,
    mostTokens: 0,
    parts: [],
  }),
  readAnswer: () => ({ requestId: 'r1', isSigned: true, isNotRun: false, isEncoded: false }),
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
      aimMilliseconds: 100,
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

/** Holds the one request that it is given until it is let go. */
class HoldingForwarder {
  readonly arrived: Promise<void>;
  letGo: () => void = () => undefined;
  #arrive: () => void = () => undefined;

  constructor() {
    this.arrived = new Promise((resolve) => {
      this.#arrive = resolve;
    });
  }

  async forward() {
    const held = new Promise<void>((resolve) => {
      this.letGo = resolve;
    });
    this.#arrive();
    await held;
    return { kind: 'answered', status: 200, headers: [], body: Buffer.from('done') } as const;
  }
}

function ask({ host, port }: Address): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const asked = request({ host, port, agent: false, path: '/a', headers: { host: 'h' } });
    asked.once('response', (answer) => {
      answer.resume();
      answer.once('end', () => {
        resolve(answer);
      });
    });
    asked.once('error', reject);
    asked.end();
  });
}

describe('a gateway that stops', () => {
  it('finishes the request that it took, and takes no other', async () => {
    const [address] = await findFreeAddresses(['127.0.0.1']);
    if (address === undefined) throw new Error('no free address');
    const forwarder = new HoldingForwarder();
    const server = new GatewayServer({
      address,
      wire: WIRE,
      forwarder: forwarder as unknown as Forwarder,
      turnHandler: { handle: () => Promise.resolve() },
      keyGuard: { admit: () => Promise.resolve(undefined) },
      quotaGate: { ask: () => FREE_PASS } as unknown as QuotaGate,
      routes: () => TABLE,
      isReady: () => false,
      clock: new SystemClock(),
      logger: createSilentLogger(),
      metrics: new Metrics(),
    });
    await server.start();
    const taken = ask(address);
    await forwarder.arrived;
    server.refuseNew();
    await expect(ask(address)).rejects.toThrow('ECONNREFUSED');
    forwarder.letGo();
    const answer = await taken;
    expect([answer.statusCode, answer.headers.connection]).toEqual([200, 'close']);
    await server.idle();
    server.stop();
  });
});
