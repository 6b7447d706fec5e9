import { ManualClock } from '../../core/tests/manual-clock';
import { SendBudget, UsualTimes } from '../../decisions';
import type { AttemptOutcome } from '../attempt';
import { SecondSend } from '../second-send';

const ROUTE = 'r';
const ANSWERED: AttemptOutcome = {
  kind: 'answered',
  status: 200,
  headers: [],
  body: Buffer.from(''),
};
const NOT_RUN: AttemptOutcome = { kind: 'not-run', status: 503 };
const LOST: AttemptOutcome = { kind: 'unknown', reason: 'reset', began: false };

async function settle(): Promise<void> {
  for (let round = 0; round < 8; round += 1) await Promise.resolve();
}

/** A second send that has learned that calls take 20 ms at most, and a call that is silent for now. */
async function callAfterManyQuickOnes() {
  const clock = new ManualClock();
  const secondSend = new SecondSend({ clock });
  const sendAgain = jest.fn((): Promise<AttemptOutcome> | undefined => undefined);
  for (let count = 0; count < 64; count += 1) {
    // One in thirty takes 20 ms, the others 10.
    const milliseconds = count % 30 === 0 ? 20 : 10;
    const answered = secondSend.run({
      route: ROUTE,
      first: new Promise((resolve) =>
        clock.after(milliseconds, () => {
          resolve(ANSWERED);
        }),
      ),
      sendAgain,
    });
    clock.advance(milliseconds);
    await answered;
  }
  sendAgain.mockClear();
  let endFirst: (outcome: AttemptOutcome) => void = () => undefined;
  const first = new Promise<AttemptOutcome>((resolve) => {
    endFirst = resolve;
  });
  const result = secondSend.run({ route: ROUTE, first, sendAgain });
  return { clock, sendAgain, endFirst, result };
}

describe('a call that may be repeated', () => {
  it('goes to one target while it takes the usual time', async () => {
    const { clock, sendAgain, endFirst, result } = await callAfterManyQuickOnes();
    clock.advance(19);
    endFirst(ANSWERED);
    expect(await result).toEqual({ outcome: ANSWERED, sends: 1 });
    expect(sendAgain).not.toHaveBeenCalled();
  });

  it('goes to a second one when it is late, and the good answer counts', async () => {
    const { clock, sendAgain, result } = await callAfterManyQuickOnes();
    sendAgain.mockReturnValue(Promise.resolve(ANSWERED));
    clock.advance(25);
    expect(await result).toEqual({ outcome: ANSWERED, sends: 2 });
  });

  it('is still answered by the first where the second did not run it', async () => {
    const { clock, sendAgain, endFirst, result } = await callAfterManyQuickOnes();
    sendAgain.mockReturnValue(Promise.resolve(NOT_RUN));
    clock.advance(25);
    await settle();
    endFirst(ANSWERED);
    expect(await result).toMatchObject({ outcome: ANSWERED });
  });

  it('does not count as not run where one of two tries may have run', async () => {
    const { clock, sendAgain, endFirst, result } = await callAfterManyQuickOnes();
    sendAgain.mockReturnValue(Promise.resolve(NOT_RUN));
    clock.advance(25);
    await settle();
    endFirst(LOST);
    expect(await result).toEqual({ outcome: LOST, sends: 2 });
  });
});

describe('the usual time of a route', () => {
  it('is not known before some calls were answered', () => {
    const times = new UsualTimes(0.98);
    for (let count = 0; count < 31; count += 1) times.note(ROUTE, 10);
    expect(times.of(ROUTE)).toBeUndefined();
  });

  it('follows the answers of late', () => {
    const times = new UsualTimes(0.98);
    for (let count = 0; count < 128; count += 1) times.note(ROUTE, 10);
    expect(times.of(ROUTE)).toBe(10);
    for (let count = 0; count < 128; count += 1) times.note(ROUTE, 50);
    expect(times.of(ROUTE)).toBe(50);
  });
});

describe('the budget of second sends', () => {
  it('runs out where all calls are late, and grows by their share', () => {
    const budget = new SendBudget(0.05);
    let taken = 0;
    for (let count = 0; count < 1000; count += 1) {
      budget.noteCall();
      if (budget.take()) taken += 1;
    }
    expect(taken).toBeGreaterThan(50);
    expect(taken).toBeLessThanOrEqual(61);
  });
});
