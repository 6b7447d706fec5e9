import { type DestinationStream, type Logger, pino, stdTimeFunctions } from 'pino';

export type { Logger } from 'pino';

export interface LogOptions {
  /** Kind of process, such as `entry`; part of each line. */
  readonly role: string;
  /** Name of the host from the settings; part of each line. */
  readonly host: string;
  readonly level?: string;
  /** Destination of the lines. */
  readonly stream: DestinationStream;
}

/** Creates a logger that writes one JSON object per line. */
export function createLogger(options: LogOptions): Logger {
  const { role, host, level = 'info', stream } = options;
  return pino(
    {
      level,
      base: { role, host },
      timestamp: stdTimeFunctions.isoTime,
      formatters: { level: (label) => ({ level: label }) },
    },
    stream,
  );
}

export function createSilentLogger(): Logger {
  return pino({ level: 'silent' });
}
