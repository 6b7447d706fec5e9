import { type Server, type Socket, createServer } from 'node:net';
import { type Address, type Clock, type Component, type Logger, messageOf } from '../core';
import { ConnectionGuard, type ConnectionGuardOptions, PersistentListener } from '../http';
import type { MemoryBudget, MemoryReclaimer } from '../resources';
import type { CallHandlers, CastHandlers, RpcContract } from './contract';
import { type Frame, FrameDecoder, writeFrame } from './frame';
import { KEEPALIVE_METHOD } from './peer-connection';

export interface RpcServerOptions<C extends RpcContract> {
  readonly address: Address;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly calls: readonly CallHandlers<C>[];
  readonly casts: readonly CastHandlers<C>[];
  /** Bounds the connections; unbounded by default. */
  readonly connections?: ConnectionGuardOptions;
  /** Memory for frames that are not complete; unbounded by default. */
  readonly frames?: { readonly budget: MemoryBudget; readonly reclaimer: MemoryReclaimer };
}

/** Beginnings of frames up to this length are not counted. */
const UNCOUNTED_BYTES = 64 * 1024;

type UntypedCallHandler = (request: unknown) => unknown;
type UntypedCastHandler = (body: unknown) => void;

/** Accepts connections of other processes and dispatches their calls and casts. */
export class RpcServer<C extends RpcContract> implements Component {
  readonly #options: RpcServerOptions<C>;
  readonly #calls: ReadonlyMap<string, UntypedCallHandler>;
  readonly #casts: ReadonlyMap<string, UntypedCastHandler>;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server;
  readonly #listener: PersistentListener;
  readonly #guard: ConnectionGuard | undefined;

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
    const { address, clock, logger, connections } = options;
    this.#listener = new PersistentListener({
      ...{ name: 'peers', server: this.#server, address, clock, logger },
    });
    if (connections !== undefined) this.#guard = new ConnectionGuard(this.#server, connections);
  }

  start(): Promise<void> {
    return this.#listener.start();
  }

  stop(): Promise<void> {
    this.#listener.stop();
    for (const socket of this.#sockets) socket.destroy();
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #accept(socket: Socket): void {
    const decoder = new FrameDecoder();
    const countUnfinished = this.#countUnfinished(socket, decoder);
    this.#sockets.add(socket);
    socket.on('data', (chunk) => {
      try {
        const frames = decoder.push(chunk);
        if (frames.length > 0) this.#guard?.recordMessage(socket);
        for (const frame of frames) this.#dispatch(socket, frame);
        countUnfinished();
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

  /** Returns a function that counts the bytes of a connection's unfinished frame. */
  #countUnfinished(socket: Socket, decoder: FrameDecoder): () => void {
    const { frames, logger } = this.#options;
    if (frames === undefined) return () => undefined;
    const { budget, reclaimer } = frames;
    const release = () => {
      account.close();
      reclaimer.recordReleased(decoder.bufferedBytes);
      decoder.clear();
    };
    const close = () => {
      logger.warn({ event: 'frame-refused', peer: socket.remoteAddress });
      socket.destroy();
      release();
    };
    const account = budget.open({ onRevoked: close });
    socket.once('close', release);
    return () => {
      const { bufferedBytes } = decoder;
      const added = (bufferedBytes > UNCOUNTED_BYTES ? bufferedBytes : 0) - account.bytes;
      if (added > 0 && !account.grow(added)) close();
      if (added >= 0) return;
      reclaimer.recordReleased(-added);
      account.shrink(-added);
    };
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
