import { type Server, type Socket, createServer } from 'node:net';
import { type Address, type Component, type Logger, messageOf } from '../core';
import type { CallHandlers, CastHandlers, RpcContract } from './contract';
import { type Frame, FrameDecoder, writeFrame } from './frame';
import { KEEPALIVE_METHOD } from './peer-connection';

export interface RpcServerOptions<C extends RpcContract> {
  readonly address: Address;
  readonly logger: Logger;
  readonly calls: readonly CallHandlers<C>[];
  readonly casts: readonly CastHandlers<C>[];
}

type UntypedCallHandler = (request: unknown) => unknown;
type UntypedCastHandler = (body: unknown) => void;

/** Accepts connections of other processes and dispatches their calls and casts. */
export class RpcServer<C extends RpcContract> implements Component {
  readonly #options: RpcServerOptions<C>;
  readonly #calls: ReadonlyMap<string, UntypedCallHandler>;
  readonly #casts: ReadonlyMap<string, UntypedCastHandler>;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server;

  constructor(options: RpcServerOptions<C>) {
    this.#options = options;
    const calls = options.calls.flatMap((handlers) => Object.entries(handlers));
    this.#calls = new Map([
      [KEEPALIVE_METHOD, () => null],
      ...(calls as [string, UntypedCallHandler][]),
    ]);
    const casts = options.casts.flatMap((handlers) => Object.entries(handlers));
    this.#casts = new Map(casts as [string, UntypedCastHandler][]);
    this.#server = createServer({ noDelay: true }, (socket) => {
      this.#accept(socket);
    });
  }

  start(): Promise<void> {
    const { host, port } = this.#options.address;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port }, resolve);
    });
  }

  stop(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #accept(socket: Socket): void {
    const decoder = new FrameDecoder();
    this.#sockets.add(socket);
    socket.on('data', (chunk) => {
      try {
        for (const frame of decoder.push(chunk)) this.#dispatch(socket, frame);
      } catch (error) {
        this.#options.logger.warn({ event: 'link-unreadable', error: messageOf(error) });
        socket.destroy();
      }
    });
    socket.on('error', (error) => {
      this.#options.logger.debug({ event: 'link-closed', error: error.message });
    });
    socket.once('close', () => this.#sockets.delete(socket));
  }

  #dispatch(socket: Socket, frame: Frame): void {
    if (frame.kind === 'call') void this.#answer(socket, frame.id, frame.method, frame.body);
    else if (frame.kind === 'cast') this.#casts.get(frame.method)?.(frame.body);
  }

  async #answer(socket: Socket, id: number, method: string, body: unknown): Promise<void> {
    const handler = this.#calls.get(method);
    if (handler === undefined) {
      send(socket, { kind: 'failure', id, message: `this process does not serve ${method}` });
      return;
    }
    try {
      send(socket, { kind: 'answer', id, body: await handler(body) });
    } catch (error) {
      this.#options.logger.warn({ event: 'call-failed', method, error: messageOf(error) });
      send(socket, { kind: 'failure', id, message: messageOf(error) });
    }
  }
}

function send(socket: Socket, frame: Frame): void {
  if (socket.destroyed) return;
  writeFrame(socket, frame);
}
