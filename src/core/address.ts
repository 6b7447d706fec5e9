import { isIP } from 'node:net';
import * as z from 'zod';

const MAX_PORT = 65_535;

/** An IP address and a port; host names are not supported. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Schema of `IP:PORT`, with IPv6 addresses in brackets. */
export const addressSchema = z.string().transform((text, context): Address => {
  const separator = text.lastIndexOf(':');
  const host = text.slice(0, separator).replace(/^\[|\]$/g, '');
  const port = Number(text.slice(separator + 1));
  const valid = isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  if (!valid) {
    context.addIssue({
      code: 'custom',
      message: `"${text}" is not an IP address with a port; write it like 10.0.0.7:8080`,
    });
    return z.NEVER;
  }
  return { host, port };
});

/** Parses `IP:PORT`; throws a `ZodError` on any other text. */
export function parseAddress(text: string): Address {
  return addressSchema.parse(text);
}

/** Formats an address as `IP:PORT`, with an IPv6 address in brackets. */
export function formatAddress(address: Address): string {
  return address.host.includes(':')
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}
