import { deflateRawSync, inflateRawSync } from 'node:zlib';
import * as z from 'zod';

/** Shorter texts are not compressed. */
const MINIMUM_CHARACTERS = 4096;

/** Limit of a text; a longer one was not packed by {@link packText}. */
const TEXT_LIMIT_BYTES = 64 * 1024 * 1024;

/** A text as it is sent and stored: itself, or compressed by DEFLATE (RFC 1951), in base64. */
export const packedTextSchema = z.union([
  z.string(),
  z.object({ deflated: z.string() }).readonly(),
]);
export type PackedText = z.output<typeof packedTextSchema>;

/** Compresses a text, once for all processes that it is sent to. */
export function packText(text: string): PackedText {
  if (text.length < MINIMUM_CHARACTERS) return text;
  return { deflated: deflateRawSync(text, { level: 1 }).toString('base64') };
}

/** Throws on data that {@link packText} did not make. */
export function unpackText(packed: PackedText): string {
  if (typeof packed === 'string') return packed;
  const compressed = Buffer.from(packed.deflated, 'base64');
  return inflateRawSync(compressed, { maxOutputLength: TEXT_LIMIT_BYTES }).toString();
}

/** Characters that the packed text takes. */
export function packedLengthOf(packed: PackedText): number {
  return typeof packed === 'string' ? packed.length : packed.deflated.length;
}
