import { applyWSSHandler } from '@trpc/server/adapters/ws';
import { WebSocketServer } from 'ws';
import { type Component, equalSecrets } from '../core';
import type { HttpListener } from './http-listener';
import { type CallerContext, type ControlApi, createControlRouter } from './router';

/** Largest WebSocket message accepted. */
export const MESSAGE_LIMIT_BYTES = 32 * 1024 * 1024;

export interface ControlListenerOptions {
  readonly listener: HttpListener;
  readonly api: ControlApi;
  readonly processCredential: string;
  readonly operatorCredential: string;
}

/** Serves the control router over WebSocket on an existing HTTP server. */
export class ControlListener implements Component {
  readonly #options: ControlListenerOptions;
  readonly #webSocketServer: WebSocketServer;

  constructor(options: ControlListenerOptions) {
    this.#options = options;
    this.#webSocketServer = new WebSocketServer({
      server: options.listener.server,
      maxPayload: MESSAGE_LIMIT_BYTES,
      perMessageDeflate: false,
    });
    // Errors of the HTTP server are passed on to this one; its listener handles them.
    this.#webSocketServer.on('error', () => undefined);
  }

  start(): void {
    applyWSSHandler({
      wss: this.#webSocketServer,
      router: createControlRouter(this.#options.api),
      createContext: ({ info }) => this.#authenticate(info.connectionParams?.['credential']),
    });
  }

  stop(): void {
    for (const socket of this.#webSocketServer.clients) socket.terminate();
    this.#webSocketServer.close();
  }

  #authenticate(credential: string | undefined): CallerContext {
    if (credential === undefined) return { caller: undefined };
    if (equalSecrets(credential, this.#options.processCredential)) return { caller: 'process' };
    if (equalSecrets(credential, this.#options.operatorCredential)) return { caller: 'operator' };
    return { caller: undefined };
  }
}
