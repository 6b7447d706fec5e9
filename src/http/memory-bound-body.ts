import { MartenbayError } from '../core';
import type { ResponseMemory } from '../resources';

/** A response was given up since others needed its memory. */
export class ResponseMemoryError extends MartenbayError {
  constructor() {
    super([
      { code: 'no_memory', path: [], message: 'there is no memory for the answer at present' },
    ]);
  }
}

export interface MemoryBoundBodyOptions {
  readonly memory: ResponseMemory;
  /** Ends a wait for memory. */
  readonly signal: AbortSignal;
}

/**
 * Passes on a body whose reader keeps it, and waits for memory between its chunks. Its memory is given
 * back when the reader has reached the end or stops reading.
 *
 * @throws {@link ResponseMemoryError} when the response is given up for others
 */
export async function* memoryBoundBody(
  body: AsyncIterable<Buffer>,
  { memory, signal }: MemoryBoundBodyOptions,
): AsyncGenerator<Buffer, void> {
  let wake: () => void = () => undefined;
  const onWake = () => {
    wake();
  };
  const account = memory.open({ onGranted: onWake, onRevoked: onWake });
  signal.addEventListener('abort', onWake);
  try {
    for await (const chunk of body) {
      const mayContinue = account.take(chunk.length);
      if (!mayContinue && !signal.aborted) {
        await new Promise<void>((resolve) => {
          wake = resolve;
        });
      }
      signal.throwIfAborted();
      if (account.isClosed) throw new ResponseMemoryError();
      yield chunk;
    }
  } finally {
    signal.removeEventListener('abort', onWake);
    account.close();
  }
}
