// A model server as the pages describe it: it streams events with rising ids.
import { createServer } from 'node:http';

const EVENTS = 3;

export class Engine {
  draining = false;
  /** Requests that ran: id, time of arrival and body. */
  ran = [];
  #server;

  constructor({ id, service, host = '127.0.0.1' }) {
    Object.assign(this, { id, service, host });
  }

  async start() {
    this.#server = createServer((request, response) => this.#serve(request, response));
    await new Promise((done, fail) => {
      this.#server.once('error', fail);
      this.#server.listen({ host: this.host, port: 0 }, done);
    });
    this.port = this.#server.address().port;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

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
      this.ran.push({ id, arrivedAt, body: Buffer.concat(chunks).toString() });
      this.onRun?.({ id });
      response.writeHead(200, {
        'Content-Type': 'text/event-stream',
        'X-Martenbay-Server-Signature': `${this.id}.${id}`,
        'X-Martenbay-Weight-Versions': '1',
      });
      let event = 0;
      const next = () => {
        event += 1;
        response.write(`id: ${event}\ndata: ${dataOf(id, event)}\n\n`);
        if (event === EVENTS) response.end();
        else setTimeout(next, 5);
      };
      next();
    });
  }
}

const dataOf = (id, event) => `${id}-${event}`;

/** The data of all events of a turn, each with a line feed after it. */
export function outputOf(id) {
  return Array.from({ length: EVENTS }, (_, index) => `${dataOf(id, index + 1)}\n`).join('');
}
