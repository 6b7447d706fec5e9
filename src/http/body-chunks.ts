import type { IncomingMessage } from 'node:http';
import { ChunkPacer } from './chunk-pacer';

/** All listeners of a process share its processor. */
const PROCESS_PACER = new ChunkPacer();

/**
 * Calls `take` with each chunk of a request's body, now and later. Bypasses the stream's buffer and
 * its events, which would take most of the processor time of a body in very small chunks.
 */
export function takeBodyChunks(
  request: IncomingMessage,
  take: (chunk: Buffer) => void,
  pacer: ChunkPacer = PROCESS_PACER,
): void {
  // Emits what the stream has buffered already.
  request.on('data', take);
  const push = request.push.bind(request);
  request.push = (chunk: unknown, encoding) => {
    if (!Buffer.isBuffer(chunk)) return push(chunk, encoding);
    pacer.recordChunk(request);
    take(chunk);
    return true;
  };
}
