import { Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { type Route, RouteTable } from '../../routes';
import { SlotPlacer, type TargetConnections, TargetDirectory } from '../../targets';
import { type ForwardRequest, Forwarder } from '../forwarder';
import type { Exchange } from '../exchange';
import type { Wire } from '../wire';

const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'once',
  timeoutMilliseconds: 1000,
  aimMilliseconds: 100,
  priority: 0,
  services: [{ service: 's', weight: 1 }],
  attempts: 2,
  retentionSeconds: undefined,
};

const TABLE = new RouteTable({
  version: 1,
  routes: [ROUTE],
  services: [{ name: 's', connectionLimit: 2, engine: undefined }],
  limits: { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 },
});

const EXCHANGE = {
  hasLeft: () => false,
  remainingMilliseconds: 500,
} as unknown as Exchange;

const REQUEST: ForwardRequest = {
  exchange: EXCHANGE,
  route: ROUTE,
  table: TABLE,
  body: null,
  placement: { parts: [], promptTokens: 0, lastTarget: undefined, heldTokens: 0 },
};

describe('a request for a target whose connections are all in use', () => {
  it('is refused as not run, without a connection more', async () => {
    const clock = new ManualClock();
    const random = new SeededRandom(1);
    const parts = { clock, random, logger: createSilentLogger(), metrics: new Metrics() };
    const targets = new TargetDirectory({
      ...parts,
      source: { list: () => Promise.resolve([]) },
    });
    targets.take([
      {
        id: 't',
        service: 's',
        address: '10.0.0.1:80',
        availabilityZone: 'a',
        slots: 1,
        draining: false,
      },
    ]);
    const state = targets.get('t');
    if (state === undefined) throw new Error('the target was not taken');
    state.inFlight = 1;
    state.inFlightElsewhere = 1;
    const take = jest.fn();
    const forwarder = new Forwarder({
      ...parts,
      targets,
      wire: {} as Wire,
      connections: { take } as unknown as TargetConnections,
      enginePlacer: new SlotPlacer('a'),
      slotPlacer: new SlotPlacer('a'),
    });
    const outcome = await forwarder.forward(REQUEST);
    expect(outcome).toMatchObject({
      kind: 'refused',
      isNotRun: true,
      refusal: { status: 503, code: 'not_run' },
    });
    expect(take).not.toHaveBeenCalled();
  });
});
