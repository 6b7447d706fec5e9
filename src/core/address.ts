import { isIP } from 'node:net';
import * as z from 'zod';

const HIGHEST_PORT = 65_535;

/** An IP number and a port, `127.0.0.1:8080`; names are not resolved. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Schema of `IP:port`. */
export const addressSchema = z.string().transform((text, context): Address => {
  const separator = text.lastIndexOf(':');
  const host = text.slice(0, separator).replace(/^\[|\]$/g, '');
  const port = Number(text.slice(separator + 1));
  const valid = isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port <= HIGHEST_PORT;
  if (!valid) {
    context.addIssue({
      code: 'custom',
      message: `"${text}" is not an IP number with a port; write it like 10.0.0.7:8080`,
    });
    return z.NEVER;
  }
  return { host, port };
});

/** Parses an address that was checked before or comes from a peer; throws on any other text. */
export function parseAddress(text: string): Address {
  return addressSchema.parse(text);
}

/** Renders an address as it is written in settings. */
export function formatAddress(address: Address): string {
  return address.host.includes(':')
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}
