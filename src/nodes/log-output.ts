import type SonicBoom from 'sonic-boom';
import { destination } from 'pino';
import { type Clock, type Component, type Metrics, PeriodicTask } from '../core';

const WRITE_CHUNK_BYTES = 4096;

/** Limit of the unwritten lines; further ones are dropped while standard output is blocked. */
const BUFFER_LIMIT_BYTES = 512 * 1024;

const FLUSH_INTERVAL_MILLISECONDS = 200;

/** Asynchronous log output to standard output with a bounded buffer; logging never blocks. */
export class LogOutput implements Component {
  readonly stream: SonicBoom;
  readonly #flushTask: PeriodicTask;
  /** Bytes of the lines that were neither written nor dropped. */
  #pendingBytes = 0;

  constructor(clock: Clock, metrics: Metrics) {
    this.stream = destination({
      fd: 1,
      sync: false,
      minLength: WRITE_CHUNK_BYTES,
      maxLength: BUFFER_LIMIT_BYTES,
    });
    const write = this.stream.write.bind(this.stream);
    this.stream.write = (line) => {
      this.#pendingBytes += Buffer.byteLength(line);
      return write(line);
    };
    this.stream.on('write', (bytes: number) => {
      this.#pendingBytes -= bytes;
    });
    this.stream.on('drop', (line: string) => {
      this.#pendingBytes -= Buffer.byteLength(line);
      metrics.count('log_lines_dropped_total');
    });
    this.stream.on('error', () => {
      metrics.count('log_write_errors_total');
    });
    this.#flushTask = new PeriodicTask(clock, FLUSH_INTERVAL_MILLISECONDS, () => {
      // Without a line, flush() would write an empty string, which costs a system call.
      if (this.#pendingBytes > 0) this.stream.flush();
    });
  }

  start(): void {
    this.#flushTask.start();
  }

  stop(): void {
    this.#flushTask.stop();
    this.stream.flushSync();
  }
}
