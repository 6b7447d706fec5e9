import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Address, Component } from '../src/core';

export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
}

/** HTTP server of a stand-in; `stop()` closes its open connections. */
export class StandInServer implements Component {
  readonly #server: Server;
  readonly #address: Address;

  constructor(
    address: Address,
    handle: (request: IncomingMessage, response: ServerResponse) => Promise<void> | void,
  ) {
    this.#address = address;
    this.#server = createServer((request, response) => {
      void Promise.resolve(handle(request, response)).catch((error: unknown) => {
        if (!response.headersSent) sendJson(response, 500, { error: String(error) });
      });
    });
  }

  start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#address.port, this.#address.host, resolve);
    });
  }

  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
      this.#server.closeAllConnections();
    });
  }
}
