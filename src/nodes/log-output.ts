import type SonicBoom from 'sonic-boom';
import { destination } from 'pino';
import { type Clock, type Component, type Metrics, PeriodicTask } from '../core';

/** Bytes of lines that are written at once. */
const WRITE_BYTES = 4096;

/** Bytes of lines that may wait for a reader that is too slow; newer ones are dropped. */
const WAITING_BYTES = 512 * 1024;

/** Longest time for which a line waits; milliseconds. */
const FLUSH_MILLISECONDS = 200;

/** Standard output for log lines: bounded, and nothing waits for its reader. */
export class LogOutput implements Component {
  readonly stream: SonicBoom;
  readonly #flushing: PeriodicTask;

  constructor(clock: Clock, metrics: Metrics) {
    this.stream = destination({
      fd: 1,
      sync: false,
      minLength: WRITE_BYTES,
      maxLength: WAITING_BYTES,
    });
    this.stream.on('drop', () => {
      metrics.count('log_lines_dropped_total');
    });
    this.stream.on('error', () => {
      metrics.count('log_write_errors_total');
    });
    this.#flushing = new PeriodicTask(clock, FLUSH_MILLISECONDS, () => {
      this.stream.flush();
    });
  }

  start(): void {
    this.#flushing.start();
  }

  stop(): void {
    this.#flushing.stop();
    this.stream.flushSync();
  }
}
