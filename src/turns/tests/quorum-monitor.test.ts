import { LatestValue, type StoreView } from '../../cluster';
import { createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { QuorumMonitor } from '..';
import { flushEventLoop } from './simulated-cluster';
import { SAMPLE_VIEW } from './sample-view';

/** Time in which at least two probes take place. */
const TWO_PROBES_MILLISECONDS = 1000;

describe('the quorum monitor', () => {
  const clock = new ManualClock();
  let reachable = true;
  let callCount = 0;
  const view = new LatestValue<StoreView>(({ epoch }) => epoch);
  const monitor = new QuorumMonitor({
    view,
    clock,
    logger: createSilentLogger(),
    peers: {
      call: (() => {
        callCount += 1;
        return reachable ? Promise.resolve({}) : Promise.reject(new Error('connection lost'));
      }) as never,
      cast: () => undefined,
      isConnected: () => reachable,
    },
  });

  const advance = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += 50) {
      clock.advance(50);
      await flushEventLoop();
    }
  };

  beforeAll(() => {
    view.offer(SAMPLE_VIEW);
    monitor.start();
  });

  afterAll(() => {
    monitor.stop();
  });

  it('reports the quorum as unreachable before the first probe', () => {
    expect(monitor.reachesQuorum).toBe(false);
  });

  it('reports the quorum as reachable once a quorum has answered', async () => {
    await advance(TWO_PROBES_MILLISECONDS);
    expect(monitor.reachesQuorum).toBe(true);
  });

  it('detects a network partition within a second without any traffic', async () => {
    reachable = false;
    await advance(TWO_PROBES_MILLISECONDS);
    expect(monitor.reachesQuorum).toBe(false);
  });

  it('detects the end of the partition', async () => {
    reachable = true;
    await advance(TWO_PROBES_MILLISECONDS);
    expect(monitor.reachesQuorum).toBe(true);
  });

  it('sends no probes while turns are answered by a quorum', async () => {
    const before = callCount;
    for (let time = 0; time < TWO_PROBES_MILLISECONDS; time += 100) {
      monitor.recordSuccess();
      await advance(100);
    }
    expect(callCount).toBe(before);
  });
});
