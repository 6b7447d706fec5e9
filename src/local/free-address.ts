import { type Server, createServer } from 'node:net';
import { type Address, type RandomSource, SystemRandom } from '../core';

/** Below the ports that the system gives to outgoing connections, which could take one first. */
const LOWEST_PORT = 16_000;

/** Ports of one slice; a process takes all its ports from the slice it owns. */
const SLICE_PORTS = 125;
const SLICES = 128;

/** The guard of slice `n` is port `n` above this one; whoever listens on it owns the slice. */
const LOWEST_GUARD_PORT = LOWEST_PORT - SLICES;
const GUARD_HOST = '127.0.0.1';

let ownSlice: Promise<PortSlice> | undefined;

/**
 * Finds ports that nobody listens on, all different, one for each host named. No two processes
 * that search this way get the same one, although nobody listens on a port when it is given out.
 */
export async function findFreeAddresses(
  hosts: readonly string[],
  random: RandomSource = new SystemRandom(),
): Promise<readonly Address[]> {
  ownSlice ??= PortSlice.claim(random);
  const slice = await ownSlice;
  const found: Address[] = [];
  for (const host of hosts) found.push({ host, port: await slice.nextFree(host) });
  return found;
}

/** A range of ports that belongs to this process until it ends. */
class PortSlice {
  readonly #lowest: number;
  #next = 0;

  private constructor(index: number) {
    this.#lowest = LOWEST_PORT + index * SLICE_PORTS;
  }

  /** Takes the first slice from a random one on whose guard port is free. */
  static async claim(random: RandomSource): Promise<PortSlice> {
    const start = Math.floor(random.fraction() * SLICES);
    for (let offset = 0; offset < SLICES; offset += 1) {
      const index = (start + offset) % SLICES;
      const guard = await listen(GUARD_HOST, LOWEST_GUARD_PORT + index);
      if (guard === undefined) continue;
      guard.unref();
      return new PortSlice(index);
    }
    throw new Error(`All ${SLICES} port ranges from ${LOWEST_PORT} on are in use`);
  }

  async nextFree(host: string): Promise<number> {
    for (let tries = 0; tries < SLICE_PORTS; tries += 1) {
      const port = this.#lowest + (this.#next % SLICE_PORTS);
      this.#next += 1;
      const server = await listen(host, port);
      if (server === undefined) continue;
      await close(server);
      return port;
    }
    throw new Error(`All ports from ${this.#lowest} to ${this.#lowest + SLICE_PORTS} are in use`);
  }
}

/** Listens on an address; nothing when it is taken. */
function listen(host: string, port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}
