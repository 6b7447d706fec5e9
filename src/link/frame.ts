import type { Socket } from 'node:net';
import { DefaultSerializer, deserialize } from 'node:v8';
import { RpcError } from './errors';

/** Largest message; anything longer is a fault of the sender. */
const FRAME_LIMIT_BYTES = 32 * 1024 * 1024;

const LENGTH_BYTES = 4;

/** Holds the place of the length until it is known. */
const EMPTY_LENGTH = Buffer.alloc(LENGTH_BYTES);

/** One message of a connection. A cast expects no answer. */
export type Frame =
  | { readonly kind: 'call'; readonly id: number; readonly method: string; readonly body: unknown }
  | { readonly kind: 'answer'; readonly id: number; readonly body: unknown }
  | { readonly kind: 'failure'; readonly id: number; readonly message: string }
  | { readonly kind: 'cast'; readonly method: string; readonly body: unknown };

/**
 * Encodes a frame as a 4-byte length (big-endian) and Node's structured clone of the message. Both
 * go into one buffer, since writing two takes a corked stream and a call that gathers them.
 */
export function encodeFrame(frame: Frame): Buffer {
  const serializer = new DefaultSerializer();
  serializer.writeRawBytes(EMPTY_LENGTH);
  serializer.writeHeader();
  serializer.writeValue(frame);
  const bytes = serializer.releaseBuffer();
  bytes.writeUInt32BE(bytes.length - LENGTH_BYTES);
  return bytes;
}

/** Cuts a stream of bytes into frames. */
export class FrameDecoder {
  #chunks: Buffer[] = [];
  #available = 0;

  /** Adds bytes and returns the frames that are whole now; throws on a frame that can't be. */
  push(chunk: Buffer): readonly Frame[] {
    this.#chunks.push(chunk);
    this.#available += chunk.length;
    const frames: Frame[] = [];
    for (;;) {
      const payload = this.#take();
      if (payload === undefined) return frames;
      frames.push(deserialize(payload) as Frame);
    }
  }

  #take(): Buffer | undefined {
    if (this.#available < LENGTH_BYTES) return undefined;
    const length = this.#peekLength();
    if (length > FRAME_LIMIT_BYTES) throw RpcError.of('protocol', `a frame of ${length} bytes`);
    if (this.#available < LENGTH_BYTES + length) return undefined;
    const bytes = this.#joined();
    this.#chunks =
      bytes.length > LENGTH_BYTES + length ? [bytes.subarray(LENGTH_BYTES + length)] : [];
    this.#available = bytes.length - LENGTH_BYTES - length;
    return bytes.subarray(LENGTH_BYTES, LENGTH_BYTES + length);
  }

  #peekLength(): number {
    const [first] = this.#chunks;
    if (first !== undefined && first.length >= LENGTH_BYTES) return first.readUInt32BE(0);
    return this.#joined().readUInt32BE(0);
  }

  #joined(): Buffer {
    const [first] = this.#chunks;
    if (this.#chunks.length === 1 && first !== undefined) return first;
    const joined = Buffer.concat(this.#chunks);
    this.#chunks = [joined];
    return joined;
  }
}

/** Writes a frame to a connection in one go. */
export function writeFrame(socket: Socket, frame: Frame): void {
  socket.write(encodeFrame(frame));
}
