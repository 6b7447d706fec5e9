import { createHash, timingSafeEqual } from 'node:crypto';
import { stringify } from 'safe-stable-stringify';

/** SHA-256 of a text, in hexadecimal. */
export function digestText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** SHA-256 of a JSON value; equal values give equal digests whatever the order of their keys. */
export function digestValue(value: unknown): string {
  return digestText(stringify(value) ?? '');
}

/**
 * Digests of every prefix of a list: element `n` covers the first `n + 1` values. Two lists share
 * a prefix of length `n` exactly when their digests at `n - 1` are equal.
 */
export function digestPrefixes(values: readonly unknown[], start = ''): readonly string[] {
  let previous = start;
  return values.map((value) => {
    previous = digestText(`${previous}\n${stringify(value) ?? ''}`);
    return previous;
  });
}

/** Compares two secrets without telling by its duration where they differ. */
export function equalSecrets(left: string, right: string): boolean {
  const leftDigest = createHash('sha256').update(left).digest();
  const rightDigest = createHash('sha256').update(right).digest();
  return timingSafeEqual(leftDigest, rightDigest);
}
