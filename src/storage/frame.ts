import { crc32 } from 'node:zlib';

/** First bytes of every file: a mark and the format version. */
export const FILE_MARK = Buffer.from('MARTLOG\u0002', 'latin1');

/** First bytes of every frame, by which a search finds frames behind damage. */
const FRAME_MARK = Buffer.from([0xb5, 0x4d, 0x46, 0x52]);

/**
 * A frame is the frame mark, a 4-byte length, a 4-byte CRC-32 of the payload (both big-endian) and
 * the payload, which is never empty. It holds records of JSON text, one a line, and is the unit of
 * one sync: a frame begins to be written only once the frame before it is synced.
 */
const FRAME_HEADER_BYTES = 12;

/** Largest payload; a longer length field can only be damage. */
const PAYLOAD_LIMIT_BYTES = 256 * 1024 * 1024;

/** Wraps records in a frame. */
export function encodeFrame(records: readonly string[]): Buffer {
  const payload = Buffer.from(records.join('\n'));
  const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
  FRAME_MARK.copy(header, 0);
  header.writeUInt32BE(payload.length, 4);
  header.writeUInt32BE(crc32(payload), 8);
  return Buffer.concat([header, payload]);
}

/** Reads bytes that are to be one whole frame; nothing if they are not. */
export function decodeOnlyFrame(bytes: Buffer): readonly string[] | undefined {
  const frame = decodeFrame(bytes, 0);
  if (frame?.end !== bytes.length) return undefined;
  return frame.payload.toString().split('\n');
}

/** What a file holds. */
export interface FileReading {
  readonly records: readonly string[];
  /** End of the last whole frame, in bytes; what follows was never acknowledged. */
  readonly end: number;
  /** Offset of a damaged frame that whole ones follow, so that it was acknowledged. */
  readonly damagedAt: number | undefined;
}

/** Reads every frame of a file, from behind its mark. */
export function decodeFile(bytes: Buffer): FileReading {
  const records: string[] = [];
  let offset = FILE_MARK.length;
  for (;;) {
    const frame = decodeFrame(bytes, offset);
    if (frame === undefined) break;
    records.push(...frame.payload.toString().split('\n'));
    offset = frame.end;
  }
  const damaged = offset < bytes.length && hasFrameAfter(bytes, offset + 1);
  return { records, end: offset, damagedAt: damaged ? offset : undefined };
}

interface Frame {
  readonly payload: Buffer;
  readonly end: number;
}

function decodeFrame(bytes: Buffer, offset: number): Frame | undefined {
  const start = offset + FRAME_HEADER_BYTES;
  if (start > bytes.length) return undefined;
  if (!bytes.subarray(offset, offset + FRAME_MARK.length).equals(FRAME_MARK)) return undefined;
  const length = bytes.readUInt32BE(offset + 4);
  const end = start + length;
  if (length === 0 || length > PAYLOAD_LIMIT_BYTES || end > bytes.length) return undefined;
  const payload = bytes.subarray(start, end);
  return crc32(payload) === bytes.readUInt32BE(offset + 8) ? { payload, end } : undefined;
}

/** Frames are synced one by one, so a whole one shows that those before it were acknowledged. */
function hasFrameAfter(bytes: Buffer, from: number): boolean {
  let offset = bytes.indexOf(FRAME_MARK, from);
  while (offset >= 0) {
    if (decodeFrame(bytes, offset) !== undefined) return true;
    offset = bytes.indexOf(FRAME_MARK, offset + 1);
  }
  return false;
}
