import { buf as crc32 } from 'crc-32';

/**
 * A frame is a 4-byte length, a 4-byte CRC-32 of the payload (both big-endian) and the payload.
 */
export const FRAME_HEADER_BYTES = 8;

/** Largest payload; a longer length field can only be damage. */
export const PAYLOAD_LIMIT_BYTES = 64 * 1024 * 1024;

/** Wraps a payload in a frame. */
export function encodeFrame(payload: Buffer): Buffer {
  const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
  header.writeUInt32BE(payload.length, 0);
  header.writeInt32BE(crc32(payload), 4);
  return Buffer.concat([header, payload]);
}

/** What a frame at some offset turned out to be. */
export type FrameReading =
  | { readonly kind: 'frame'; readonly payload: Buffer; readonly end: number }
  /** The file ends inside the frame: a write that was cut off. */
  | { readonly kind: 'torn' }
  /** The bytes are all there, but not those that were written. */
  | { readonly kind: 'damaged' };

/** Reads the frame that starts at `offset`. */
export function decodeFrame(bytes: Buffer, offset: number): FrameReading {
  const start = offset + FRAME_HEADER_BYTES;
  if (start > bytes.length) return { kind: 'torn' };
  const length = bytes.readUInt32BE(offset);
  if (length > PAYLOAD_LIMIT_BYTES) return { kind: 'damaged' };
  const end = start + length;
  if (end > bytes.length) return { kind: 'torn' };
  const payload = bytes.subarray(start, end);
  const intact = crc32(payload) === bytes.readInt32BE(offset + 4);
  return intact ? { kind: 'frame', payload, end } : { kind: 'damaged' };
}
