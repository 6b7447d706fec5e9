import { ManualClock } from '../../core/tests/manual-clock';
import { StoreGroup, createRecord } from './store-group';

const MEMBERS = ['s1', 's2', 's3'];

const SECOND = 1000;

/** Age of the turn at the jump, within its retention of 60 s. */
const AGE_MILLISECONDS = 40 * SECOND;

/** The stores drop expired turns at least once in this time. */
const EXPIRY_MILLISECONDS = 11 * SECOND;

/** A clock whose time of day can be set apart from its monotonic time. */
class SteppedClock extends ManualClock {
  stepMilliseconds = 0;

  override now(): number {
    return super.now() + this.stepMilliseconds;
  }
}

/** Records a turn, lets the time of day jump for a while, and looks the turn up after its return. */
async function lookUpAfterStep(stepMilliseconds: number) {
  const clock = new SteppedClock();
  const group = new StoreGroup(clock);
  for (const name of MEMBERS) await group.start(name);
  const view = group.viewOf(1, MEMBERS);
  await group.offer(view, MEMBERS);
  const client = group.client('g', view);
  const record = createRecord('t1', { endedAt: clock.now(), retentionSeconds: 60 });
  await group.outcomeOf(client.record(record, clock.monotonic() + SECOND));
  clock.advance(AGE_MILLISECONDS);
  clock.stepMilliseconds = stepMilliseconds;
  clock.advance(EXPIRY_MILLISECONDS);
  clock.stepMilliseconds = 0;
  return group.outcomeOf(client.chain('t1', 'p', clock.monotonic() + SECOND));
}

// Guards against turns dropped within their retention because the time of day has jumped.
describe('a turn within its retention', () => {
  describe('after the time of day has jumped and returned', () => {
    it('is found if the jump was one of seconds', async () => {
      for (const seconds of [-30, -2.4, 2.4, 30]) {
        expect(await lookUpAfterStep(seconds * SECOND)).toMatchObject({ kind: 'found' });
      }
    });

    it('is found if the jump was longer than the retention', async () => {
      expect(await lookUpAfterStep(2400 * SECOND)).toMatchObject({ kind: 'found' });
    });
  });
});
