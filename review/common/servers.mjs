// Stand-ins for the platform's list of servers and for servers, which behave as the pages say.
import { createServer } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

function listen(server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port }, () => resolve(server.address().port));
  });
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('latin1');
}

/** A server of one service; `answer` writes the answer to a request that it runs. */
export class Server {
  constructor({ id, service, host, slots, zone, answer, record }) {
    Object.assign(this, { id, service, host, slots, zone, record });
    /** Requests that it ran, in order. */
    this.runs = [];
    this.server = createServer({ maxHeaderSize: 131_072 }, (request, response) => {
      this.#serve(request, response, answer).catch(() => response.destroy());
    });
  }

  async start() {
    this.port = await listen(this.server, this.host);
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  get entry() {
    return {
      id: this.id,
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      coldRemainingMs: 0,
    };
  }

  async #serve(request, response, answer) {
    if (request.url === '/health') {
      response.writeHead(200, { 'x-martenbay-instance-id': this.id }).end();
      return;
    }
    const body = await readBody(request);
    const { headers } = request;
    const id = headers['x-martenbay-request-id'];
    const expected = headers['x-martenbay-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {
        'x-martenbay-request-id': id,
        'x-martenbay-not-executed': '1',
        'x-martenbay-instance-id': this.id,
      });
      response.end();
      return;
    }
    const run = { id, headers, method: request.method, path: request.url, body, server: this.id };
    this.runs.push(run);
    this.record({ event: 'run', server: this.id, request: id, bodyBytes: body.length });
    await answer(run, request, response);
  }
}

export const signed = ({ id, server }) => ({
  'x-martenbay-request-id': id,
  'x-martenbay-server-signature': `${server}.1`,
});

/** Streams `events` events whose data tells the request and the number of the event. */
export function streamEvents({ events = 3, gapMs = 10 } = {}) {
  return async (run, _request, response) => {
    response.writeHead(200, {
      ...signed(run),
      'content-type': 'text/event-stream',
      'x-martenbay-weight-versions': '1',
    });
    for (let number = 1; number <= events; number += 1) {
      response.write(`id: ${number}\ndata: said-${run.id}-${number}\n\n`);
      if (number < events) await pause(gapMs);
    }
    response.end();
  };
}

/** Data of the events of a stream, each with a line feed after it. */
export function outputOf(body) {
  return body
    .split('\n')
    .filter((line) => line.startsWith('data: '))
    .map((line) => `${line.slice('data: '.length)}\n`)
    .join('');
}

/** The platform's list of servers, on one page. */
export class InstanceList {
  constructor(host, servers) {
    this.host = host;
    this.server = createServer((_request, response) => {
      response.setHeader('content-type', 'application/json');
      const instances = servers.map(({ entry }) => entry);
      response.end(JSON.stringify({ instances, nextToken: null }));
    });
  }

  async start() {
    this.port = await listen(this.server, this.host);
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
