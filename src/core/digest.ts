import { createHash, timingSafeEqual } from 'node:crypto';
import { stringify } from 'safe-stable-stringify';

/** SHA-256 of a text, in hexadecimal. */
export function digestText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** SHA-256 of a JSON value in hexadecimal, independent of the order of object keys. */
export function digestValue(value: unknown): string {
  return digestText(stringify(value) ?? '');
}

/**
 * Digests of every prefix of a list: element `n` covers the first `n + 1` values. Two lists share
 * a prefix of length `n` if and only if their digests at `n - 1` are equal.
 */
export function digestPrefixes(values: readonly unknown[], start = ''): readonly string[] {
  let previous = start;
  return values.map((value) => {
    previous = digestText(`${previous}\n${stringify(value) ?? ''}`);
    return previous;
  });
}

/** Compares two secrets in constant time. */
export function equalSecrets(left: string, right: string): boolean {
  const leftDigest = createHash('sha256').update(left).digest();
  const rightDigest = createHash('sha256').update(right).digest();
  return timingSafeEqual(leftDigest, rightDigest);
}
