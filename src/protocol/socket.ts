import { type TRPCLink, TRPCClientError } from '@trpc/client';
import { observable } from '@trpc/server/observable';
import WebSocket from 'ws';
import * as z from 'zod';
import type { ControlRouter } from './router';

/** Responses of tRPC's WebSocket protocol, without subscriptions. */
const responseSchema = z.object({
  id: z.number(),
  result: z.looseObject({ data: z.unknown() }).optional(),
  error: z.looseObject({ message: z.string(), code: z.number(), data: z.unknown() }).optional(),
});

interface PendingCall {
  readonly resolve: (data: unknown) => void;
  readonly reject: (error: Error | object) => void;
}

interface OutgoingCall {
  readonly method: 'query' | 'mutation' | 'subscription';
  readonly path: string;
  readonly input: unknown;
}

/**
 * WebSocket connection to a control host. The first call opens it; when it closes, the calls in
 * flight fail and the next call reopens it. Used instead of tRPC's WebSocket client, which delays
 * every call by a timer.
 */
export class ControlSocket {
  readonly #url: string;
  readonly #credential: string;
  readonly #pending = new Map<number, PendingCall>();
  #socket: WebSocket | undefined;
  #sendQueue: string[] = [];
  #lastId = 0;

  constructor(url: string, credential: string) {
    this.#url = `${url}/?connectionParams=1`;
    this.#credential = credential;
  }

  /** Sends a call; returns a function that cancels it. */
  call(call: OutgoingCall, pending: PendingCall): () => void {
    this.#lastId += 1;
    const id = this.#lastId;
    this.#pending.set(id, pending);
    const { method, path, input } = call;
    this.#send(JSON.stringify({ id, jsonrpc: '2.0', method, params: { path, input } }));
    return () => {
      this.#pending.delete(id);
    };
  }

  close(): void {
    this.#socket?.close();
  }

  #send(text: string): void {
    const socket = this.#socket ?? this.#open();
    if (socket.readyState === WebSocket.OPEN) socket.send(text);
    else this.#sendQueue.push(text);
  }

  #open(): WebSocket {
    const socket = new WebSocket(this.#url, { perMessageDeflate: false });
    this.#socket = socket;
    socket.once('open', () => {
      const data = { credential: this.#credential };
      socket.send(JSON.stringify({ method: 'connectionParams', data }));
      for (const text of this.#sendQueue.splice(0)) socket.send(text);
    });
    socket.on('message', (data: Buffer) => {
      this.#receive(data.toString());
    });
    socket.once('error', (error) => {
      this.#disconnect(socket, error);
    });
    socket.once('close', () => {
      this.#disconnect(socket, new Error('the connection to the control host was closed'));
    });
    return socket;
  }

  #receive(text: string): void {
    const parsed = responseSchema.safeParse(JSON.parse(text));
    if (!parsed.success) return;
    const { id, result, error } = parsed.data;
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    if (error === undefined) pending?.resolve(result?.data);
    else pending?.reject({ error });
  }

  #disconnect(socket: WebSocket, error: Error): void {
    if (this.#socket !== socket) return;
    this.#socket = undefined;
    this.#sendQueue = [];
    const pending = [...this.#pending.values()];
    this.#pending.clear();
    for (const call of pending) call.reject(error);
  }
}

/** Creates a tRPC link over a {@link ControlSocket}; aborting a call's signal cancels the call. */
export function socketLink(socket: ControlSocket): TRPCLink<ControlRouter> {
  return () =>
    ({ op }) =>
      observable((observer) => {
        const fail = (error: Error | object) => {
          observer.error(TRPCClientError.from(error as Error));
        };
        const cancel = socket.call(
          { method: op.type, path: op.path, input: op.input },
          {
            resolve: (data) => {
              observer.next({ result: { type: 'data', data } });
              observer.complete();
            },
            reject: fail,
          },
        );
        const abort = () => {
          cancel();
          fail(new Error('the call was aborted'));
        };
        op.signal?.addEventListener('abort', abort, { once: true });
        return () => {
          op.signal?.removeEventListener('abort', abort);
          cancel();
        };
      });
}
