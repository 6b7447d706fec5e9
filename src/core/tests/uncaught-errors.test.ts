import { LifeCycle, Metrics, UncaughtErrors, repeat } from '..';
import { collectLog } from './collected-log';
import { ManualClock } from './manual-clock';

// Guards against one callback's error that ends the whole process.
describe('UncaughtErrors', () => {
  let clock: ManualClock;
  let lifeCycle: LifeCycle;
  let lines: ReturnType<typeof collectLog>['lines'];
  let excess: unknown[];

  beforeEach(async () => {
    clock = new ManualClock();
    const log = collectLog();
    ({ lines } = log);
    excess = [];
    lifeCycle = new LifeCycle();
    lifeCycle.add(
      'uncaught-errors',
      new UncaughtErrors({
        ...{ clock, logger: log.logger, metrics: new Metrics() },
        onExcess: (error) => excess.push(error),
      }),
    );
    await lifeCycle.start();
  });

  afterEach(() => lifeCycle.stop());

  it.each([
    ['exception', 'uncaughtException'],
    ['rejection', 'unhandledRejection'],
  ])('logs an %s with its stack and goes on', (origin, event) => {
    const error = new Error('unexpected');
    process.emit(event as never, error as never);
    expect(lines).toEqual([
      expect.objectContaining({
        ...{ event: 'uncaught-error', origin, error: 'unexpected', stack: error.stack },
      }),
    ]);
    expect(excess).toEqual([]);
  });

  it('reports errors that recur', () => {
    for (let count = 0; count <= 20; count += 1) {
      process.emit('uncaughtException', new Error(`error ${count}`));
    }
    expect(excess).toEqual([new Error('error 20')]);
  });

  it('tolerates errors that are rare', () => {
    for (let count = 0; count <= 20; count += 1) {
      process.emit('uncaughtException', new Error(`error ${count}`));
      clock.advance(1000);
    }
    expect(excess).toEqual([]);
  });
});

// Guards against a periodic task that ends at its first error.
describe('repeat', () => {
  it('runs the action again after it has thrown', () => {
    const clock = new ManualClock();
    let runs = 0;
    const cancel = repeat(clock, 10, () => {
      runs += 1;
      throw new Error('unexpected');
    });
    for (let run = 0; run < 3; run += 1) {
      expect(() => {
        clock.advance(10);
      }).toThrow('unexpected');
    }
    cancel();
    expect(runs).toBe(3);
  });
});
