import type { SnapshotContents } from '..';

/** Contents in memory, read at once. */
export class MemoryContents implements SnapshotContents {
  readonly #texts = new Map<number, string>();
  #next = 1;

  get size(): number {
    return this.#texts.size;
  }

  put(text: string): number {
    const handle = this.#next;
    this.putAs(handle, text);
    return handle;
  }

  putAs(handle: number, text: string): void {
    this.#next = Math.max(this.#next, handle + 1);
    this.#texts.set(handle, text);
  }

  read(handle: number): string {
    const text = this.#texts.get(handle);
    if (text === undefined) throw new Error(`no content ${handle}`);
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

  adopt(): void {
    throw new Error('contents in memory have no places');
  }

  placeOf(): undefined {
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
