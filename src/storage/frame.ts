import { crc32 } from 'node:zlib';

/** First bytes of every file: magic number and format version. */
export const FILE_HEADER = Buffer.from('MARTLOG\u0002', 'latin1');

/** First bytes of every frame, used to find intact frames that follow damaged bytes. */
const FRAME_MAGIC = Buffer.from([0xb5, 0x4d, 0x46, 0x52]);

/**
 * Size of a frame's header: the magic number, a 4-byte payload length and a 4-byte CRC-32 of the
 * payload, both big-endian. The payload is never empty and holds records of JSON text separated by
 * line feeds. Each frame is synced before the next one is written.
 */
export const FRAME_HEADER_BYTES = 12;

/** A length field above this limit is treated as damage. */
const MAX_PAYLOAD_BYTES = 256 * 1024 * 1024;

export const MAX_FRAME_BYTES = FRAME_HEADER_BYTES + MAX_PAYLOAD_BYTES;

export function encodeFrame(records: readonly string[]): Buffer {
  const payload = Buffer.from(records.join('\n'));
  const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
  FRAME_MAGIC.copy(header, 0);
  header.writeUInt32BE(payload.length, 4);
  header.writeUInt32BE(crc32(payload), 8);
  return Buffer.concat([header, payload]);
}

/** Decodes bytes that hold exactly one frame; `undefined` if they do not. */
export function decodeSingleFrame(bytes: Buffer): readonly string[] | undefined {
  const frame = decodeFrame(bytes, 0);
  if (frame?.end !== bytes.length) return undefined;
  return frame.payload.toString().split('\n');
}

/** Where the intact frames of a file end. */
export interface FramesEnd {
  /** Offset after the last intact frame, in bytes. */
  readonly end: number;
  /**
   * Offset of a damaged frame that an intact one follows, so that its records were acknowledged;
   * `undefined` if only an unacknowledged tail is damaged.
   */
  readonly damagedOffset: number | undefined;
}

export interface DecodedFile extends FramesEnd {
  readonly records: readonly string[];
}

/** Decodes the frames of a file whose header was checked. */
export function decodeFile(bytes: Buffer): DecodedFile {
  const records: string[] = [];
  const frames = decodeFrames(bytes);
  for (;;) {
    const next = frames.next();
    if (next.done === true) return { records, ...next.value };
    records.push(...next.value);
  }
}

/** Yields the records of each frame of a file whose header was checked. */
export function* decodeFrames(bytes: Buffer): Generator<readonly string[], FramesEnd> {
  let offset = FILE_HEADER.length;
  for (;;) {
    const frame = decodeFrame(bytes, offset);
    if (frame === undefined) break;
    yield frame.payload.toString().split('\n');
    offset = frame.end;
  }
  const damaged = offset < bytes.length && hasFrameAfter(bytes, offset + 1);
  return { end: offset, damagedOffset: damaged ? offset : undefined };
}

/** Size in bytes of the frame that starts with `header`; `undefined` if none does. */
export function frameSizeOf(header: Buffer): number | undefined {
  if (header.length < FRAME_HEADER_BYTES) return undefined;
  return FRAME_HEADER_BYTES + header.readUInt32BE(FRAME_MAGIC.length);
}

interface Frame {
  readonly payload: Buffer;
  readonly end: number;
}

function decodeFrame(bytes: Buffer, offset: number): Frame | undefined {
  const start = offset + FRAME_HEADER_BYTES;
  if (start > bytes.length) return undefined;
  if (!bytes.subarray(offset, offset + FRAME_MAGIC.length).equals(FRAME_MAGIC)) return undefined;
  const length = bytes.readUInt32BE(offset + 4);
  const end = start + length;
  if (length === 0 || length > MAX_PAYLOAD_BYTES || end > bytes.length) return undefined;
  const payload = bytes.subarray(start, end);
  return crc32(payload) === bytes.readUInt32BE(offset + 8) ? { payload, end } : undefined;
}

/**
 * Whether an intact frame starts at or after `from`. If so, all frames before it were acknowledged, as
 * each frame is synced before the next one is written.
 */
function hasFrameAfter(bytes: Buffer, from: number): boolean {
  let offset = bytes.indexOf(FRAME_MAGIC, from);
  while (offset >= 0) {
    if (decodeFrame(bytes, offset) !== undefined) return true;
    offset = bytes.indexOf(FRAME_MAGIC, offset + 1);
  }
  return false;
}
