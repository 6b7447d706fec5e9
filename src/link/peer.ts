import { type Socket, connect } from 'node:net';
import { type Address, type CancelTimer, type Clock, formatAddress } from '../core';
import { RpcError } from './errors';
import { type Frame, FrameDecoder, writeFrame } from './frame';

/**
 * Longest time to open a connection; a round trip between regions takes 20 ms. A host that was dark
 * is tried again this soon, while the kernel would repeat its first packet after a second.
 */
const CONNECT_MILLISECONDS = 350;

/** Pause after a failed connection before the next one; milliseconds. */
const RETRY_MILLISECONDS = 100;

/** Pause between checks of a connection that is in use; milliseconds. */
const CHECK_MILLISECONDS = 500;

/** Silence after which a connection in use counts as dead; two checks and a margin. */
const SILENCE_MILLISECONDS = 1500;

/** Bytes that may wait for a slow peer; a cast beyond that is dropped and a call fails. */
const BACKLOG_LIMIT_BYTES = 16 * 1024 * 1024;

/** Name of the call that shows that a connection is alive. */
export const KEEPALIVE_METHOD = 'link.check';

interface PendingCall {
  readonly resolve: (body: unknown) => void;
  readonly reject: (error: RpcError) => void;
  readonly cancel: CancelTimer;
}

export interface PeerConnectionOptions {
  readonly address: Address;
  readonly clock: Clock;
  /** Told when the connection is gained or lost. */
  readonly onState: (connected: boolean, reason: string) => void;
}

/** One connection to another process, opened by the first message and again after a loss. */
export class PeerConnection {
  readonly #options: PeerConnectionOptions;
  readonly #pending = new Map<number, PendingCall>();
  #socket: Socket | undefined;
  #connected = false;
  #failedAt = -Infinity;
  #heardAt = -Infinity;
  #lastId = 0;
  #cancelCheck: CancelTimer = () => undefined;
  #sentSinceCheck = false;

  constructor(options: PeerConnectionOptions) {
    this.#options = options;
  }

  /** Whether the connection stands and has answered lately. */
  get connected(): boolean {
    return this.#connected;
  }

  /** Makes a call; rejects with a {@link LinkError}. */
  call(method: string, body: unknown, milliseconds: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      this.#lastId += 1;
      const id = this.#lastId;
      const cancel = this.#options.clock.after(milliseconds, () => {
        this.#pending.delete(id);
        reject(this.#error('lost', `no answer to ${method} in ${milliseconds} ms`));
      });
      this.#pending.set(id, { resolve, reject, cancel });
      if (this.#write({ kind: 'call', id, method, body })) return;
      this.#pending.delete(id);
      cancel();
      reject(this.#error('unreachable', `no connection for ${method}`));
    });
  }

  /** Sends a message that expects no answer; it may be lost. */
  cast(method: string, body: unknown): void {
    this.#write({ kind: 'cast', method, body });
  }

  close(): void {
    this.#lose(this.#socket, 'closed by this process');
  }

  #write(frame: Frame): boolean {
    const socket = this.#socket ?? this.#open();
    if (socket === undefined || socket.writableLength > BACKLOG_LIMIT_BYTES) return false;
    writeFrame(socket, frame);
    this.#sentSinceCheck = true;
    return true;
  }

  #open(): Socket | undefined {
    const { address, clock } = this.#options;
    if (clock.monotonic() - this.#failedAt < RETRY_MILLISECONDS) return undefined;
    const socket = connect({ host: address.host, port: address.port, noDelay: true });
    const decoder = new FrameDecoder();
    this.#socket = socket;
    const cancelConnect = clock.after(CONNECT_MILLISECONDS, () => {
      this.#lose(socket, 'the connection was not accepted in time');
    });
    socket.once('connect', () => {
      cancelConnect();
      this.#connected = true;
      this.#heardAt = clock.monotonic();
      this.#options.onState(true, 'connected');
      this.#scheduleCheck(socket);
    });
    socket.on('data', (chunk) => {
      this.#receive(socket, decoder, chunk);
    });
    socket.once('error', (error) => {
      this.#lose(socket, error.message);
    });
    socket.once('close', () => {
      cancelConnect();
      this.#lose(socket, 'closed by the other side');
    });
    return socket;
  }

  #receive(socket: Socket, decoder: FrameDecoder, chunk: Buffer): void {
    this.#heardAt = this.#options.clock.monotonic();
    try {
      for (const frame of decoder.push(chunk)) this.#take(frame);
    } catch (error) {
      this.#lose(socket, error instanceof Error ? error.message : 'an unreadable frame');
    }
  }

  #take(frame: Frame): void {
    if (frame.kind === 'call' || frame.kind === 'cast') return;
    const pending = this.#pending.get(frame.id);
    if (pending === undefined) return;
    this.#pending.delete(frame.id);
    pending.cancel();
    if (frame.kind === 'answer') pending.resolve(frame.body);
    else pending.reject(this.#error('failed', frame.message));
  }

  /** Finds connections whose other end is gone without a word. */
  #scheduleCheck(socket: Socket): void {
    const { clock } = this.#options;
    this.#cancelCheck = clock.after(CHECK_MILLISECONDS, () => {
      if (this.#socket !== socket) return;
      const silence = clock.monotonic() - this.#heardAt;
      if (silence > SILENCE_MILLISECONDS && this.#pending.size > 0) {
        this.#lose(socket, `silent for ${Math.round(silence)} ms`);
        return;
      }
      this.#check();
      this.#scheduleCheck(socket);
    });
  }

  /** Asks for a sign of life, unless the other end has sent one lately. */
  #check(): void {
    const silence = this.#options.clock.monotonic() - this.#heardAt;
    if (!this.#sentSinceCheck || silence < CHECK_MILLISECONDS) return;
    this.call(KEEPALIVE_METHOD, null, SILENCE_MILLISECONDS * 2).catch(() => undefined);
    this.#sentSinceCheck = false;
  }

  #lose(socket: Socket | undefined, reason: string): void {
    if (socket === undefined || this.#socket !== socket) return;
    this.#socket = undefined;
    this.#cancelCheck();
    socket.destroy();
    const wasConnected = this.#connected;
    this.#connected = false;
    if (!wasConnected) this.#failedAt = this.#options.clock.monotonic();
    const failure = wasConnected ? 'lost' : 'unreachable';
    for (const [id, call] of this.#pending) {
      this.#pending.delete(id);
      call.cancel();
      call.reject(this.#error(failure, reason));
    }
    this.#options.onState(false, reason);
  }

  #error(failure: RpcError['failure'], message: string): RpcError {
    return new RpcError(failure, `${formatAddress(this.#options.address)}: ${message}`);
  }
}
