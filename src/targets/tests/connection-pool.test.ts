import { Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { type ListedTarget, TargetConnectionPool, TargetDirectory, type TargetState } from '..';

const LISTED: ListedTarget = {
  id: 't',
  service: 's',
  address: '127.0.0.1:1',
  availabilityZone: 'a',
  slots: 6,
  draining: false,
};

/** A pool that closes idle connections as the gateway does; no connection is established. */
function createPool() {
  const logger = createSilentLogger();
  const metrics = new Metrics();
  const pool = new TargetConnectionPool(logger, metrics);
  const targets = new TargetDirectory({
    ...{ clock: new ManualClock(), logger, random: new SeededRandom(1) },
    source: { list: () => Promise.resolve([]) },
  });
  targets.onDraining((state) => {
    pool.closeIdle(state);
  });
  const list = (bornAt: number): TargetState => {
    targets.update([{ ...LISTED, bornAt }]);
    const state = targets.get('t');
    if (state === undefined) throw new Error('test target is not in the directory');
    return state;
  };
  const openedCount = () => Number(/opened_total (\d+)/.exec(metrics.render())?.[1] ?? 0);
  return { pool, list, openedCount };
}

describe('connections to a target that restarts under its former id and address', () => {
  it('are reused while the target runs', () => {
    const { pool, list, openedCount } = createPool();
    pool.acquire(list(1000)).release();
    pool.acquire(list(1000)).release();
    expect(openedCount()).toBe(1);
  });

  it('are not reused after the restart, whether they were idle or in use', () => {
    const { pool, list, openedCount } = createPool();
    const former = list(1000);
    const inUse = pool.acquire(former);
    pool.acquire(former).release();
    const fresh = list(2000);
    inUse.release();
    pool.acquire(fresh).release();
    expect(openedCount()).toBe(3);
  });
});
