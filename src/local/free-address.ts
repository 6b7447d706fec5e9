import { createServer } from 'node:net';
import { type Address, type RandomSource, SystemRandom } from '../core';

/** Ports below those that the system gives to outgoing connections, which could take one first. */
const LOWEST_PORT = 16_000;
const HIGHEST_PORT = 32_000;

/** Finds ports that nobody listens on, all different, one for each host named. */
export async function findFreeAddresses(
  hosts: readonly string[],
  random: RandomSource = new SystemRandom(),
): Promise<readonly Address[]> {
  const found: Address[] = [];
  for (const host of hosts) {
    const taken = new Set(found.map((address) => address.port));
    found.push(await findFreeAddress(host, taken, random));
  }
  return found;
}

async function findFreeAddress(
  host: string,
  taken: ReadonlySet<number>,
  random: RandomSource,
): Promise<Address> {
  for (;;) {
    const span = HIGHEST_PORT - LOWEST_PORT;
    const port = LOWEST_PORT + Math.floor(random.fraction() * span);
    if (!taken.has(port) && (await isFree(host, port))) return { host, port };
  }
}

function isFree(host: string, port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
