import type { SnapshotContentStore } from '..';

/** Keeps contents in memory, with a synchronous read. */
export class MemoryContentStore implements SnapshotContentStore {
  readonly #texts = new Map<number, string>();
  #next = 1;

  get size(): number {
    return this.#texts.size;
  }

  put(text: string): number {
    const handle = this.#next;
    this.putWithHandle(handle, text);
    return handle;
  }

  putWithHandle(handle: number, text: string): void {
    this.#next = Math.max(this.#next, handle + 1);
    this.#texts.set(handle, text);
  }

  read(handle: number): string {
    const text = this.#texts.get(handle);
    if (text === undefined) throw new Error(`No content with handle ${handle}`);
    return text;
  }

  get(handle: number): Promise<string> {
    return Promise.resolve(this.read(handle));
  }

  has(handle: number): boolean {
    return this.#texts.has(handle);
  }

  drop(handle: number): void {
    this.#texts.delete(handle);
  }

  reset(): void {
    this.#texts.clear();
  }

  restore(): void {
    throw new Error('MemoryContentStore does not support content locations');
  }

  locationOf(): undefined {
    return undefined;
  }

  flush(): Promise<void> {
    return Promise.resolve();
  }

  unusedFiles(): readonly number[] {
    return [];
  }

  removeFiles(): Promise<void> {
    return Promise.resolve();
  }
}
