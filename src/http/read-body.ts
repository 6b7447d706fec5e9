/**
 * Reads a body to its end. Resolves with `undefined` if it is longer than `limitBytes`; the rest is
 * not read, and the connection is closed.
 */
export async function readBody(
  body: AsyncIterable<Buffer>,
  limitBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.length;
    if (length > limitBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Reads the beginning of a body that explains an error; the rest is not read. */
export async function readBeginning(
  body: AsyncIterable<Buffer>,
  limitBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body) {
    chunks.push(chunk);
    length += chunk.length;
    if (length >= limitBytes) break;
  }
  return Buffer.concat(chunks).subarray(0, limitBytes).toString();
}
