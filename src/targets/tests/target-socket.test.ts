import { type Server, createServer } from 'node:net';
import type { Address } from '../../core';
import { findFreeAddresses } from '../../local';
import { TargetSocket } from '../target-socket';

// Guards against an error in the HTTP client that ends the process and not one connection.
describe('a connection to a target', () => {
  let address: Address;
  let target: Server;
  let errors: unknown[];
  let socket: TargetSocket;

  beforeEach(async () => {
    const [found] = await findFreeAddresses(['127.0.0.1']);
    if (found === undefined) throw new Error('findFreeAddresses returned no address');
    address = found;
    target = createServer((accepted) => {
      accepted.on('error', () => undefined);
      accepted.end('whole');
    });
    await new Promise<void>((resolve) => {
      target.listen({ host: address.host, port: address.port }, resolve);
    });
    errors = [];
    socket = new TargetSocket((error) => errors.push(error));
  });

  afterEach(() => {
    socket.destroy();
    target.close();
  });

  describe('whose listener throws', () => {
    it.each(['connect', 'data', 'end'])('on %s is closed with that error', async (event) => {
      const failure = new Error(`failed on ${event}`);
      socket.on(event, () => {
        throw failure;
      });
      socket.on('error', () => undefined);
      const closed = new Promise((resolve) => socket.once('close', resolve));
      socket.connect({ host: address.host, port: address.port });
      socket.resume();
      await closed;
      expect(errors).toEqual([failure]);
      expect(socket.errored).toBe(failure);
    });
  });

  describe('whose response is paused', () => {
    it('ends once the response is resumed for good', async () => {
      const events: string[] = [];
      socket.on('data', () => {
        socket.holdEnd();
      });
      socket.on('end', () => events.push('end'));
      socket.connect({ host: address.host, port: address.port });
      while (!socket.readableEnded) await new Promise((resolve) => setImmediate(resolve));
      socket.releaseEnd(() => {
        socket.holdEnd();
      });
      expect(events).toEqual([]);
      socket.releaseEnd(() => events.push('resumed'));
      expect(events).toEqual(['resumed', 'end']);
    });
  });
});
