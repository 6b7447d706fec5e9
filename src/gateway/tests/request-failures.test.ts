import { type IncomingMessage, request } from 'node:http';
import { findFreeAddresses } from '../../local';
import type { GatewayServer } from '..';
import { type GatewayFixtureOptions, createGatewayServer } from './gateway-fixture';

// Guards against a request that gets a wrong refusal, or none, where the gateway cannot serve it.
describe('a gateway that cannot serve a request', () => {
  let server: GatewayServer;

  async function start(options: Omit<GatewayFixtureOptions, 'address'>) {
    const [address] = await findFreeAddresses(['127.0.0.1']);
    if (address === undefined) throw new Error('no free address');
    server = createGatewayServer({ address, ...options });
    await server.start();
    return new Promise<IncomingMessage>((resolve, reject) => {
      const { host, port } = address;
      const sent = request({ host, port, path: '/a', agent: false, headers: { host: 'h' } });
      sent.once('response', (response) => {
        response.resume();
        resolve(response);
      });
      sent.once('error', reject);
      sent.end();
    });
  }

  afterEach(() => {
    server.stop();
  });

  describe('because it knows no configuration', () => {
    it('answers 503 with a time to retry, not 404', async () => {
      const forward = jest.fn();
      const { statusCode, headers } = await start({ forward, isConfigured: false });
      expect([statusCode, headers['retry-after'], forward.mock.calls]).toEqual([503, '0.70', []]);
    });
  });

  describe('because of an internal error', () => {
    it('closes the connection, since the request may have run', async () => {
      const forward = () => Promise.reject(new Error('unexpected'));
      await expect(start({ forward })).rejects.toThrow('socket hang up');
      await server.whenIdle();
    });
  });
});
