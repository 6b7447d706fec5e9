import { SeededRandom } from '../../core';
import { findFreeAddresses } from '../free-address';

/** Loads a second copy of the module, whose state is separate as in another process. */
function loadAsAnotherProcess(): typeof findFreeAddresses {
  let loaded = findFreeAddresses;
  jest.isolateModules(() => {
    // eslint-disable-next-line @typescript-eslint/no-require-imports -- a second copy of the module
    const copy = require('../free-address') as typeof import('../free-address');
    loaded = copy.findFreeAddresses;
  });
  return loaded;
}

const HOSTS = ['127.0.0.1', '127.0.0.1', '127.0.0.1'];

describe('findFreeAddresses', () => {
  it('never returns the same port twice to a process', async () => {
    const first = await findFreeAddresses(HOSTS);
    const second = await findFreeAddresses(HOSTS);
    const ports = [...first, ...second].map((address) => address.port);
    expect(new Set(ports).size).toBe(ports.length);
  });

  it('never returns the same port to two processes, even before either listens on it', async () => {
    const [first, second] = [loadAsAnotherProcess(), loadAsAnotherProcess()];
    const found = [
      ...(await first(HOSTS, new SeededRandom(7))),
      ...(await second(HOSTS, new SeededRandom(7))),
    ];
    const ports = found.map((address) => address.port);
    expect(new Set(ports).size).toBe(ports.length);
  });
});
