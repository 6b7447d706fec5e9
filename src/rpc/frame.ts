import type { Socket } from 'node:net';
import { DefaultSerializer, deserialize } from 'node:v8';
import { BlockBuffer } from '../resources';
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
  readonly #blocks = new BlockBuffer();
  /** Length of the frame that has begun, with its prefix; undefined until that has arrived. */
  #frameBytes: number | undefined;

  /** Bytes of the frame that is not complete. */
  get bufferedBytes(): number {
    return this.#blocks.length;
  }

  /**
   * Adds bytes and returns the frames they complete; throws on a frame that is too long or invalid.
   */
  push(chunk: Buffer): readonly Frame[] {
    this.#blocks.append(chunk);
    const frames: Frame[] = [];
    for (;;) {
      const payload = this.#readFrame();
      if (payload === undefined) return frames;
      frames.push(deserialize(payload) as Frame);
    }
  }

  /** Drops the frame that is not complete. */
  clear(): void {
    this.#blocks.clear();
    this.#frameBytes = undefined;
  }

  #readFrame(): Buffer | undefined {
    if (this.#blocks.length < LENGTH_BYTES) return undefined;
    this.#frameBytes ??= this.#readFrameBytes();
    const frameBytes = this.#frameBytes;
    if (this.#blocks.length < frameBytes) return undefined;
    const bytes = this.#blocks.toBuffer();
    this.#replace(bytes.subarray(frameBytes));
    this.#frameBytes = undefined;
    return bytes.subarray(LENGTH_BYTES, frameBytes);
  }

  #readFrameBytes(): number {
    const bytes = this.#blocks.toBuffer();
    this.#replace(bytes);
    const length = bytes.readUInt32BE(0);
    if (length > FRAME_LIMIT_BYTES)
      throw RpcError.of('protocol', `frame of ${length} bytes exceeds the frame limit`);
    return LENGTH_BYTES + length;
  }

  #replace(bytes: Buffer): void {
    this.#blocks.clear();
    if (bytes.length > 0) this.#blocks.append(bytes);
  }
}

export function writeFrame(socket: Socket, frame: Frame): void {
  socket.write(encodeFrame(frame));
}
