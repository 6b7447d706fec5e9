import type { Socket } from 'node:net';
import { DefaultSerializer, deserialize } from 'node:v8';
import { RpcError } from './errors';

/** Maximum payload; a longer frame is a protocol error. */
const FRAME_LIMIT_BYTES = 32 * 1024 * 1024;

const LENGTH_BYTES = 4;

/** Placeholder that is overwritten once the length is known. */
const LENGTH_PLACEHOLDER = Buffer.alloc(LENGTH_BYTES);

/** One message on a connection. A cast is a one-way message. */
export type Frame =
  | { readonly kind: 'call'; readonly id: number; readonly method: string; readonly body: unknown }
  | { readonly kind: 'answer'; readonly id: number; readonly body: unknown }
  | { readonly kind: 'failure'; readonly id: number; readonly message: string }
  | { readonly kind: 'cast'; readonly method: string; readonly body: unknown };

/**
 * Encodes a frame as a 4-byte big-endian length and the message in Node's structured clone format.
 * Both are in one buffer, so that a single write suffices.
 */
export function encodeFrame(frame: Frame): Buffer {
  const serializer = new DefaultSerializer();
  serializer.writeRawBytes(LENGTH_PLACEHOLDER);
  serializer.writeHeader();
  serializer.writeValue(frame);
  const bytes = serializer.releaseBuffer();
  bytes.writeUInt32BE(bytes.length - LENGTH_BYTES);
  return bytes;
}

/** Decodes a byte stream into frames. */
export class FrameDecoder {
  #chunks: Buffer[] = [];
  #available = 0;

  /**
   * Adds bytes and returns the frames they complete; throws on a frame that is too long or invalid.
   */
  push(chunk: Buffer): readonly Frame[] {
    this.#chunks.push(chunk);
    this.#available += chunk.length;
    const frames: Frame[] = [];
    for (;;) {
      const payload = this.#readFrame();
      if (payload === undefined) return frames;
      frames.push(deserialize(payload) as Frame);
    }
  }

  #readFrame(): Buffer | undefined {
    if (this.#available < LENGTH_BYTES) return undefined;
    const length = this.#readLength();
    if (length > FRAME_LIMIT_BYTES)
      throw RpcError.of('protocol', `frame of ${length} bytes exceeds the frame limit`);
    if (this.#available < LENGTH_BYTES + length) return undefined;
    const bytes = this.#joinChunks();
    this.#chunks =
      bytes.length > LENGTH_BYTES + length ? [bytes.subarray(LENGTH_BYTES + length)] : [];
    this.#available = bytes.length - LENGTH_BYTES - length;
    return bytes.subarray(LENGTH_BYTES, LENGTH_BYTES + length);
  }

  #readLength(): number {
    const [first] = this.#chunks;
    if (first !== undefined && first.length >= LENGTH_BYTES) return first.readUInt32BE(0);
    return this.#joinChunks().readUInt32BE(0);
  }

  #joinChunks(): Buffer {
    const [first] = this.#chunks;
    if (this.#chunks.length === 1 && first !== undefined) return first;
    const joined = Buffer.concat(this.#chunks);
    this.#chunks = [joined];
    return joined;
  }
}

export function writeFrame(socket: Socket, frame: Frame): void {
  socket.write(encodeFrame(frame));
}
