// A plain server as the pages describe it: it runs the requests that name it, signs its answers, and
// answers 421 to a request that is meant for another server.
import { createServer } from 'node:http';

export class PlainServer {
  draining = false;
  /** Requests that ran: id and time of arrival. */
  ran = [];
  #server;

  constructor({ id, service, host = '127.0.0.1', workMilliseconds = 20 }) {
    Object.assign(this, { id, service, host, workMilliseconds });
  }

  async start(port = 0) {
    this.#server = createServer((request, response) => this.#serve(request, response));
    await new Promise((done, fail) => {
      this.#server.once('error', fail);
      this.#server.listen({ host: this.host, port }, done);
    });
    this.port = this.#server.address().port;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  /** The server ends: its connections are closed. */
  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #serve(request, response) {
    const arrivedAt = Date.now();
    const { 'x-martenbay-request-id': id, 'x-martenbay-expect-instance': expected } =
      request.headers;
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (id !== undefined) response.setHeader('X-Martenbay-Request-Id', id);
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421).end();
        return;
      }
      if (id === undefined) {
        response.writeHead(400, { 'X-Martenbay-Not-Executed': '1' }).end();
        return;
      }
      this.ran.push({ id, arrivedAt, path: request.url });
      this.onRun?.({ id, arrivedAt, path: request.url });
      setTimeout(() => {
        response.setHeader('X-Martenbay-Server-Signature', `${this.id}.${id}`);
        response.end(`${this.id} ran ${id}`);
      }, this.workMilliseconds);
    });
  }
}
