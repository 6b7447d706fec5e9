import type { DestinationStream } from 'pino';
import { type Clock, delay } from './clock';
import { type OutputFile, StandardOutput } from './output-file';
import type { Component } from './life-cycle';
import type { Metrics } from './metrics';

/** Unwritten bytes from which on they are written at once. */
const WRITE_CHUNK_BYTES = 4096;

/** Limit of the unwritten lines; further ones are dropped while standard output is blocked. */
const BUFFER_LIMIT_BYTES = 512 * 1024;

const FLUSH_INTERVAL_MILLISECONDS = 200;

/** Time between two tries to write to an output that is full. */
const RETRY_MILLISECONDS = 20;

/** Time for the last lines of a process, if its output takes them slowly or not at all. */
const STOP_MILLISECONDS = 100;

const NOTHING = Buffer.alloc(0);

export interface LogOutputOptions {
  readonly clock: Clock;
  readonly metrics?: Metrics;
  /** Standard output by default. */
  readonly file?: OutputFile;
}

/**
 * Log output with a bounded buffer. Neither a line nor the end of the process waits for the reader;
 * pino's own destination tries to write the last lines until they are taken.
 */
export class LogOutput implements Component, DestinationStream {
  readonly #clock: Clock;
  readonly #metrics: Metrics | undefined;
  readonly #file: OutputFile;
  #lines: string[] = [];
  #lineBytes = 0;
  /** The part of the former lines that is not written yet. */
  #chunk: Buffer = NOTHING;
  #isChunkInFlight = false;
  #writing: Promise<void> | undefined;
  #isFlushScheduled = false;

  constructor({ clock, metrics, file = new StandardOutput() }: LogOutputOptions) {
    this.#clock = clock;
    this.#metrics = metrics;
    this.#file = file;
  }

  write(line: string): void {
    const bytes = Buffer.byteLength(line);
    if (this.#lineBytes + this.#chunk.length + bytes > BUFFER_LIMIT_BYTES) {
      this.#metrics?.count('log_lines_dropped_total');
      return;
    }
    this.#lines.push(line);
    this.#lineBytes += bytes;
    if (this.#lineBytes >= WRITE_CHUNK_BYTES) void this.#flush();
    else this.#scheduleFlush();
  }

  /** Resolves once all lines are written, or after a short time; more lines may follow. */
  async stop(): Promise<void> {
    await Promise.race([this.#flush(), delay(this.#clock, STOP_MILLISECONDS)]);
  }

  /** Writes as many lines as the output takes at once, for a process that ends now. */
  writeNow(): void {
    // The write that is in flight is completed by its thread.
    if (this.#isChunkInFlight) this.#chunk = NOTHING;
    try {
      for (;;) {
        this.#takeLines();
        if (this.#chunk.length === 0) return;
        const taken = this.#file.writeNow(this.#chunk);
        if (taken === 0) return;
        this.#chunk = this.#chunk.subarray(taken);
      }
    } catch {
      this.#metrics?.count('log_write_errors_total');
    }
  }

  #scheduleFlush(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    this.#clock.after(FLUSH_INTERVAL_MILLISECONDS, () => {
      this.#isFlushScheduled = false;
      void this.#flush();
    });
  }

  /** Resolves once all lines are written. */
  #flush(): Promise<void> {
    this.#writing ??= this.#writeLines().finally(() => {
      this.#writing = undefined;
      // Lines that came after the last write, for which no other one has begun.
      if (this.#lineBytes > 0) this.#scheduleFlush();
    });
    return this.#writing;
  }

  async #writeLines(): Promise<void> {
    for (;;) {
      this.#takeLines();
      if (this.#chunk.length === 0) return;
      const pauseMilliseconds = await this.#writeChunk();
      if (pauseMilliseconds > 0) await delay(this.#clock, pauseMilliseconds);
    }
  }

  /** Resolves with the time to wait before the next write. */
  async #writeChunk(): Promise<number> {
    this.#isChunkInFlight = true;
    try {
      const taken = await this.#file.write(this.#chunk);
      this.#chunk = this.#chunk.subarray(taken);
      return taken === 0 ? RETRY_MILLISECONDS : 0;
    } catch {
      this.#metrics?.count('log_write_errors_total');
      return FLUSH_INTERVAL_MILLISECONDS;
    } finally {
      this.#isChunkInFlight = false;
    }
  }

  #takeLines(): void {
    if (this.#chunk.length > 0 || this.#lineBytes === 0) return;
    this.#chunk = Buffer.from(this.#lines.join(''));
    this.#lines = [];
    this.#lineBytes = 0;
  }
}
