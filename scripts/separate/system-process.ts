import { type ChildProcess, spawn } from 'node:child_process';
import { createInterface } from 'node:readline';

/** A JSON log line of a process; other output has the event `text`. */
export type LogLine = Readonly<Record<string, unknown>>;

/** A child process of the system, with its log lines and standard error. */
export class SystemProcess {
  readonly name: string;
  readonly #process: ChildProcess;
  readonly #lines: LogLine[] = [];
  readonly #errors: string[] = [];
  readonly #firstError: Promise<void>;
  readonly #waiters: {
    readonly matches: (line: LogLine) => boolean;
    readonly resolve: (line: LogLine) => void;
  }[] = [];
  /** Resolves once the process has ended and its output was read. */
  readonly closed: Promise<void>;
  /** Resolves with the exit code, or the signal's name. */
  readonly exited: Promise<number | string>;

  constructor(name: string, file: string, settings: readonly string[]) {
    this.name = name;
    this.#process = spawn(file, [...settings], { stdio: ['ignore', 'pipe', 'pipe'] });
    this.#process.stderr?.on('data', (chunk: Buffer) => this.#errors.push(chunk.toString()));
    this.#firstError = new Promise((resolve) => {
      this.#process.stderr?.once('data', () => {
        resolve();
      });
    });
    if (this.#process.stdout !== null) {
      createInterface({ input: this.#process.stdout }).on('line', (text) => {
        this.#readLine(text);
      });
    }
    this.closed = new Promise((resolve) => {
      this.#process.once('close', () => {
        resolve();
      });
    });
    this.exited = new Promise((resolve) => {
      this.#process.once('exit', (code, signal) => {
        resolve(code ?? signal ?? 'unknown');
      });
    });
  }

  get pid(): number {
    return this.#process.pid ?? 0;
  }

  get lines(): readonly LogLine[] {
    return this.#lines;
  }

  /** Standard error so far. */
  get errors(): string {
    return this.#errors.join('');
  }

  /** Resolves once the process has written to standard error. */
  untilError(): Promise<void> {
    return this.#firstError;
  }

  signal(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  /**
   * Resolves with the first matching log line, which may be an earlier one; rejects at the exit.
   */
  async waitForLog(matches: (line: LogLine) => boolean): Promise<LogLine> {
    const earlier = this.#lines.find(matches);
    if (earlier !== undefined) return earlier;
    const matching = new Promise<LogLine>((resolve) => {
      this.#waiters.push({ matches, resolve });
    });
    const result = await Promise.race([matching, this.exited]);
    if (typeof result === 'object') return result;
    throw new Error(`${this.name} exited before the expected log line (${result}): ${this.errors}`);
  }

  #readLine(text: string): void {
    let line: LogLine;
    try {
      line = JSON.parse(text) as LogLine;
    } catch {
      line = { event: 'text', text };
    }
    this.#lines.push(line);
    for (const waiter of this.#waiters) if (waiter.matches(line)) waiter.resolve(line);
  }
}
