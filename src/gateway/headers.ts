/** Hop-by-hop headers (RFC 9110, section 7.6.1), in lower case. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'expect',
  'http2-settings',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Removes hop-by-hop headers from a list of alternating names and values. */
export function withoutConnectionHeaders(
  rawHeaders: readonly string[],
  isExcluded: (lowerCaseName: string) => boolean,
): string[] {
  const listed = namesListedByConnection(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerCaseName = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lowerCaseName)) continue;
    if (listed.has(lowerCaseName) || isExcluded(lowerCaseName)) continue;
    kept.push(name, rawHeaders[index + 1] ?? '');
  }
  return kept;
}

function namesListedByConnection(rawHeaders: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue;
    for (const name of (rawHeaders[index + 1] ?? '').split(',')) {
      names.add(name.trim().toLowerCase());
    }
  }
  return names;
}
