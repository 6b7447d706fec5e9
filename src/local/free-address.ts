import { type AddressInfo, createServer } from 'node:net';
import type { Address } from '../core';

/** Finds ports that nobody listens on, all different, one for each host named. */
export async function findFreeAddresses(hosts: readonly string[]): Promise<readonly Address[]> {
  const servers = await Promise.all(hosts.map(listen));
  const addresses = servers.map(({ server, host }) => {
    const { port } = server.address() as AddressInfo;
    return { host, port };
  });
  await Promise.all(servers.map(({ server }) => new Promise((resolve) => server.close(resolve))));
  return addresses;
}

function listen(host: string) {
  const server = createServer();
  return new Promise<{ readonly server: typeof server; readonly host: string }>(
    (resolve, reject) => {
      server.once('error', reject);
      server.listen(0, host, () => {
        resolve({ server, host });
      });
    },
  );
}
