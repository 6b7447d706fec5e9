/**
 * The name of a host as routes compare it: a `Host` field may differ in case, name a port, or end with
 * the dot of a fully qualified name (RFC 9110, section 7.2; RFC 3986, section 3.2.2).
 */
export function canonicalHostName(host: string): string {
  return host.replace(/:\d*$/, '').replace(/\.$/, '').toLowerCase();
}
