import { write, writeSync } from 'node:fs';

/** Where log lines are written. */
export interface OutputFile {
  /** Resolves with the number of bytes taken, which may be 0, or rejects. */
  write(bytes: Buffer): Promise<number>;
  /** Returns the number of bytes taken without waiting for a reader, or throws. */
  writeNow(bytes: Buffer): number;
}

const STANDARD_OUTPUT = 1;

/** Standard output, to which no write waits for a reader. */
export class StandardOutput implements OutputFile {
  constructor() {
    // Node.js sets O_NONBLOCK on a pipe or socket when `process.stdout` is first read. A write that
    // waits in a thread would make process.exit() wait, too.
    Reflect.get(process, 'stdout');
  }

  write(bytes: Buffer): Promise<number> {
    return new Promise((resolve, reject) => {
      write(STANDARD_OUTPUT, bytes, (error, taken) => {
        if (error === null) resolve(taken);
        else if (isFull(error)) resolve(0);
        else reject(error);
      });
    });
  }

  writeNow(bytes: Buffer): number {
    try {
      return writeSync(STANDARD_OUTPUT, bytes);
    } catch (error) {
      if (isFull(error)) return 0;
      throw error;
    }
  }
}

function isFull(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'EAGAIN';
}
