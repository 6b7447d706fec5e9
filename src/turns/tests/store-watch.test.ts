import { LatestValue, type StoreView } from '../../cluster';
import { createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { StoreWatch } from '..';
import { settle } from './store-cluster';
import { SAMPLE_VIEW } from './sample-view';

/** Time in which two looks take place; milliseconds. */
const TWO_LOOKS_MILLISECONDS = 1000;

describe('the watch over the stores', () => {
  const clock = new ManualClock();
  let reachable = true;
  let asked = 0;
  const view = new LatestValue<StoreView>(({ epoch }) => epoch);
  const watch = new StoreWatch({
    view,
    clock,
    logger: createSilentLogger(),
    peers: {
      call: (() => {
        asked += 1;
        return reachable ? Promise.resolve({}) : Promise.reject(new Error('cut off'));
      }) as never,
      cast: () => undefined,
      isConnected: () => reachable,
    },
  });

  const pass = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += 50) {
      clock.advance(50);
      await settle();
    }
  };

  beforeAll(() => {
    view.offer(SAMPLE_VIEW);
    watch.start();
  });

  afterAll(() => {
    watch.stop();
  });

  it('reaches nobody before the first look', () => {
    expect(watch.reachesQuorum).toBe(false);
  });

  it('reaches the stores once a quorum has answered', async () => {
    await pass(TWO_LOOKS_MILLISECONDS);
    expect(watch.reachesQuorum).toBe(true);
  });

  it('notices a cut within a second although no turn is under way', async () => {
    reachable = false;
    await pass(TWO_LOOKS_MILLISECONDS);
    expect(watch.reachesQuorum).toBe(false);
  });

  it('notices the end of the cut', async () => {
    reachable = true;
    await pass(TWO_LOOKS_MILLISECONDS);
    expect(watch.reachesQuorum).toBe(true);
  });

  it('asks nobody while turns show that the stores answer', async () => {
    const before = asked;
    for (let time = 0; time < TWO_LOOKS_MILLISECONDS; time += 100) {
      watch.noteSuccess();
      await pass(100);
    }
    expect(asked).toBe(before);
  });
});
