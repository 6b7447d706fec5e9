import { Writable } from 'node:stream';
import { type Logger, createLogger } from '..';

/** A logger and the lines that it wrote. */
export interface CollectedLog {
  readonly logger: Logger;
  readonly lines: readonly Readonly<Record<string, unknown>>[];
}

export function collectLog(): CollectedLog {
  const lines: Record<string, unknown>[] = [];
  const stream = new Writable({
    write(chunk: Buffer, _encoding, done) {
      lines.push(JSON.parse(chunk.toString()) as Record<string, unknown>);
      done();
    },
  });
  return { logger: createLogger({ role: 'r', host: 'h', stream }), lines };
}
