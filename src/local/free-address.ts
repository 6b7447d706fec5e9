import { type Server, createServer } from 'node:net';
import { type Address, type RandomSource, SystemRandom } from '../core';

/** Below the ephemeral ports, which outgoing connections could occupy. */
const FIRST_PORT = 16_000;

const PORTS_PER_RANGE = 125;
const RANGE_COUNT = 128;

/** A process owns range `n` while it listens on its lock port, `FIRST_LOCK_PORT + n`. */
const FIRST_LOCK_PORT = FIRST_PORT - RANGE_COUNT;
const LOCK_HOST = '127.0.0.1';

let ownRange: Promise<PortRange> | undefined;

/**
 * Finds a distinct free port for each host. Processes that use this function at the same time never
 * get the same port, although the ports are not bound on return.
 */
export async function findFreeAddresses(
  hosts: readonly string[],
  random: RandomSource = new SystemRandom(),
): Promise<readonly Address[]> {
  ownRange ??= PortRange.acquire(random);
  const range = await ownRange;
  const found: Address[] = [];
  for (const host of hosts) found.push({ host, port: await range.nextFreePort(host) });
  return found;
}

/** A range of ports that this process owns until it ends. */
class PortRange {
  readonly #firstPort: number;
  #nextOffset = 0;

  private constructor(index: number) {
    this.#firstPort = FIRST_PORT + index * PORTS_PER_RANGE;
  }

  /** Acquires the first range whose lock port is free, from a random one on. */
  static async acquire(random: RandomSource): Promise<PortRange> {
    const start = Math.floor(random.fraction() * RANGE_COUNT);
    for (let offset = 0; offset < RANGE_COUNT; offset += 1) {
      const index = (start + offset) % RANGE_COUNT;
      const lock = await listen(LOCK_HOST, FIRST_LOCK_PORT + index);
      if (lock === undefined) continue;
      lock.unref();
      return new PortRange(index);
    }
    throw new Error(`all ${RANGE_COUNT} port ranges from ${FIRST_PORT} on are in use`);
  }

  async nextFreePort(host: string): Promise<number> {
    for (let attempt = 0; attempt < PORTS_PER_RANGE; attempt += 1) {
      const port = this.#firstPort + (this.#nextOffset % PORTS_PER_RANGE);
      this.#nextOffset += 1;
      const server = await listen(host, port);
      if (server === undefined) continue;
      await close(server);
      return port;
    }
    throw new Error(
      `all ports from ${this.#firstPort} to ${this.#firstPort + PORTS_PER_RANGE} are in use`,
    );
  }
}

/** Listens on an address; resolves with `undefined` if that fails. */
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
