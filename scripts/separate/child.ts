import { type ChildProcess, spawn } from 'node:child_process';
import { createInterface } from 'node:readline';

/** One JSON line of a process's log. */
export type LogLine = Readonly<Record<string, unknown>>;

/** A process of the system, started by a script or a test. */
export class Child {
  readonly name: string;
  readonly #process: ChildProcess;
  readonly #lines: LogLine[] = [];
  readonly #errors: string[] = [];
  readonly #waiting: {
    readonly matches: (line: LogLine) => boolean;
    readonly wake: (line: LogLine) => void;
  }[] = [];
  /** Resolves once everything that the process wrote was read. */
  readonly closed: Promise<void>;
  /** Resolves with the exit code, or the signal's name. */
  readonly exited: Promise<number | string>;

  constructor(name: string, file: string, settings: readonly string[]) {
    this.name = name;
    this.#process = spawn(file, [...settings], { stdio: ['ignore', 'pipe', 'pipe'] });
    this.#process.stderr?.on('data', (chunk: Buffer) => this.#errors.push(chunk.toString()));
    if (this.#process.stdout !== null) {
      createInterface({ input: this.#process.stdout }).on('line', (text) => {
        this.#take(text);
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

  /** All log lines so far. */
  get lines(): readonly LogLine[] {
    return this.#lines;
  }

  /** What the process wrote to standard error. */
  get errors(): string {
    return this.#errors.join('');
  }

  signal(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  /** Resolves with a log line that matches, past ones included; rejects if the process ends first. */
  async logged(matches: (line: LogLine) => boolean): Promise<LogLine> {
    const past = this.#lines.find(matches);
    if (past !== undefined) return past;
    const seen = new Promise<LogLine>((resolve) => {
      this.#waiting.push({ matches, wake: resolve });
    });
    const ended = await Promise.race([seen, this.exited]);
    if (typeof ended === 'object') return ended;
    throw new Error(`${this.name} ended (${ended}): ${this.errors}`);
  }

  #take(text: string): void {
    let line: LogLine;
    try {
      line = JSON.parse(text) as LogLine;
    } catch {
      line = { event: 'text', text };
    }
    this.#lines.push(line);
    for (const waiting of this.#waiting) if (waiting.matches(line)) waiting.wake(line);
  }
}
