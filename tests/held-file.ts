import { spawnSync } from 'node:child_process';
import { type FileHandle, open, unlink } from 'node:fs/promises';

/** A named pipe in place of a file: whoever reads it waits until the test supplies the content. */
export class HeldFile {
  readonly #path: string;
  readonly #writer: Promise<FileHandle>;

  constructor(path: string) {
    this.#path = path;
    const { status, stderr } = spawnSync('mkfifo', [path]);
    if (status !== 0) throw new Error(`mkfifo ${path}: ${stderr.toString()}`);
    this.#writer = open(path, 'w');
  }

  /** Resolves once a process reads the file. */
  async whenRead(): Promise<void> {
    await this.#writer;
  }

  /** Ends the wait with `content`; the path is free from then on, or holds what `replace` writes. */
  async release(content: string, replace: () => Promise<void> = noReplacement): Promise<void> {
    const writer = await this.#writer;
    await unlink(this.#path);
    await replace();
    // The reader may have ended; its exit status tells why.
    await writer.write(content).catch(() => undefined);
    await writer.close();
  }

  /** Ends the wait of a reader, and of this test if there was none. */
  async dispose(): Promise<void> {
    const reader = await open(this.#path, 'r+').catch(() => undefined);
    const writer = await this.#writer;
    await writer.close().catch(() => undefined);
    await reader?.close();
  }
}

function noReplacement(): Promise<void> {
  return Promise.resolve();
}
