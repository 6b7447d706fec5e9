import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import * as z from 'zod';
import { type Logger, messageOf } from '../core';

const FILE_NAME = 'lifetime.json';

const recordSchema = z.object({
  state: z.enum(['running', 'stopped', 'failed']),
  /** The error, of a lifetime that failed. */
  reason: z.string().optional(),
});

type RecordedLifetime = z.output<typeof recordSchema>;

/** How the former lifetime of a process ended. */
export type FormerLifetime =
  /** There was none, or its data folder does not tell. */
  | { readonly end: 'unknown' }
  /** Stopped by SIGTERM or SIGINT. */
  | { readonly end: 'stopped' }
  /** The process ended itself. */
  | { readonly end: 'failed'; readonly reason: string | undefined }
  /** The process had no time to say why: a kill, a loss of power, or a signal without a handler. */
  | { readonly end: 'killed' };

export const FORMER_LIFETIME_ENDS: readonly FormerLifetime['end'][] = [
  'unknown',
  'stopped',
  'failed',
  'killed',
];

export interface LifetimeRecordOptions {
  /** Undefined if the host has no disk; then nothing is recorded. */
  readonly dataFolder: string | undefined;
  readonly logger: Logger;
}

/**
 * Records in the data folder how this lifetime of the process ends, for the next one to report. The
 * file is not synced: it outlasts the process, though not always a loss of power.
 */
export class LifetimeRecord {
  readonly former: FormerLifetime;
  readonly #file: string | undefined;
  readonly #logger: Logger;

  constructor({ dataFolder, logger }: LifetimeRecordOptions) {
    this.#file = dataFolder === undefined ? undefined : join(dataFolder, FILE_NAME);
    this.#logger = logger;
    this.former = this.#read();
  }

  /** Does nothing before the data folder was created. */
  recordRunning(): void {
    this.#write({ state: 'running' });
  }

  recordStopped(): void {
    this.#write({ state: 'stopped' });
  }

  recordFailed(reason: string): void {
    this.#write({ state: 'failed', reason });
  }

  #read(): FormerLifetime {
    if (this.#file === undefined || !existsSync(this.#file)) return { end: 'unknown' };
    try {
      const { state, reason } = recordSchema.parse(JSON.parse(readFileSync(this.#file, 'utf8')));
      if (state === 'running') return { end: 'killed' };
      return state === 'failed' ? { end: state, reason } : { end: state };
    } catch (error) {
      this.#logger.info({ event: 'lifetime-not-read', error: messageOf(error) });
      return { end: 'unknown' };
    }
  }

  #write(record: RecordedLifetime): void {
    if (this.#file === undefined || !existsSync(dirname(this.#file))) return;
    try {
      writeFileSync(this.#file, JSON.stringify(record));
    } catch (error) {
      this.#logger.info({ event: 'lifetime-not-recorded', error: messageOf(error) });
    }
  }
}
