import { Metrics } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { LogOutput } from '../log-output';

const INTERVAL_MILLISECONDS = 200;

describe('LogOutput', () => {
  let clock: ManualClock;
  let output: LogOutput;
  let flush: jest.SpyInstance;

  beforeEach(() => {
    clock = new ManualClock();
    output = new LogOutput(clock, new Metrics());
    // The test must not write to its own standard output.
    flush = jest.spyOn(output.stream, 'flush').mockImplementation(() => undefined);
    output.start();
  });

  function tick(): void {
    clock.advance(INTERVAL_MILLISECONDS);
  }

  it('does not flush while no line was logged, since that would write an empty string', () => {
    tick();
    expect(flush).not.toHaveBeenCalled();
  });

  it('flushes at each interval until every byte of the lines is written', () => {
    output.stream.write('größe\n');
    tick();
    expect(flush).toHaveBeenCalledTimes(1);
    output.stream.emit('write', 3);
    tick();
    expect(flush).toHaveBeenCalledTimes(2);
    output.stream.emit('write', 5);
    tick();
    expect(flush).toHaveBeenCalledTimes(2);
  });

  it('does not flush for a line that was dropped', () => {
    output.stream.write('größe\n');
    output.stream.emit('drop', 'größe\n');
    tick();
    expect(flush).not.toHaveBeenCalled();
  });
});
