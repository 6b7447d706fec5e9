// A client, an operator and the platform's list of servers, as the pages describe them.
import { createServer, request as httpRequest } from 'node:http';
import { sleep } from './system.mjs';

/** Sends one request on a connection of its own; resolves with what the client sees. */
export function send({
  host,
  port,
  method = 'GET',
  path,
  headers = {},
  body = '',
  timeout = 5000,
}) {
  return new Promise((resolve) => {
    const sentAt = Date.now();
    const finish = (result) => {
      clearTimeout(timer);
      resolve({ ...result, sentAt, endedAt: Date.now() });
    };
    const options = { hostname: host, port, method, path, agent: false };
    const sent = httpRequest(
      { ...options, headers: { ...headers, 'content-length': Buffer.byteLength(body) } },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => finish({ status: response.statusCode, cut: true }));
        response.on('end', () => {
          const { statusCode: status, headers: received, complete } = response;
          const text = Buffer.concat(chunks).toString('latin1');
          finish({ status, headers: received, text, cut: !complete });
        });
      },
    );
    const timer = setTimeout(() => {
      sent.destroy();
      finish({ status: undefined, cut: true, gaveUp: true });
    }, timeout);
    sent.on('error', (error) => finish({ status: undefined, cut: true, error: error.code }));
    sent.end(body);
  });
}

/** Sends a configuration until a gateway acknowledges it. */
export async function configure(gateways, configuration, note) {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const { host, control: port } = gateways[attempt % gateways.length];
    const body = JSON.stringify(configuration);
    const headers = { 'content-type': 'application/json' };
    const call = { host, port, method: 'POST', path: '/v1/Config.Replace', headers, body };
    const { status } = await send({ ...call, timeout: 1000 });
    if (status === 200) {
      note('configuration-acknowledged', { version: configuration.version });
      return;
    }
    await sleep(200);
  }
  throw new Error('the configuration was not acknowledged');
}

/** Resolves once all gateways answer that they are ready. */
export async function untilReady(gateways) {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const answers = await Promise.all(
      gateways.map(({ host, ready: port }) =>
        send({ host, port, path: '/v1/readiness', timeout: 500 }),
      ),
    );
    if (answers.every(({ status }) => status === 200)) return;
    await sleep(200);
  }
  throw new Error('the gateways did not become ready');
}

/** Serves `GET /instances` in one page. */
export class InstanceList {
  /** Returns the entries at the time of a call. */
  entries = () => [];
  #server = createServer((request, response) => {
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify({ instances: this.entries(), nextToken: null }));
    this.onRead?.();
  });

  async start() {
    await new Promise((done) => this.#server.listen({ host: '127.0.0.1', port: 0 }, done));
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
