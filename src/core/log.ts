import { type DestinationStream, type Logger, destination, pino, stdTimeFunctions } from 'pino';

export type { Logger } from 'pino';

/** What a process's log lines carry. */
export interface LogOptions {
  /** Kind of process, such as `entry`. */
  readonly role: string;
  /** The process's own name from its settings. */
  readonly host: string;
  readonly level?: string;
  /** Where the lines go; standard output unless given. */
  readonly stream?: DestinationStream;
}

/** Creates a logger that writes one JSON object per line. */
export function createLogger(options: LogOptions): Logger {
  const { role, host, level = 'info', stream = destination({ fd: 1, sync: true }) } = options;
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

/** A logger that writes nothing. */
export function createSilentLogger(): Logger {
  return pino({ level: 'silent' });
}
