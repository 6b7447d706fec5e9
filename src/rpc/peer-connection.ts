import { type Socket, connect } from 'node:net';
import { type Address, type CancelTimer, type Clock, formatAddress } from '../core';
import { RpcError } from './errors';
import { type Frame, FrameDecoder, writeFrame } from './frame';

/**
 * Time limit to open a connection. Shorter than the 1 s after which the kernel would repeat a lost
 * SYN, so that a restarted host is reached sooner.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 350;

const RECONNECT_DELAY_MILLISECONDS = 100;

/** Interval between checks of whether a keepalive is needed. */
const KEEPALIVE_INTERVAL_MILLISECONDS = 500;

/**
 * Time after a call in which bytes must be received, or bytes that are queued for the peer be sent;
 * otherwise the connection is closed.
 */
const IDLE_TIMEOUT_MILLISECONDS = 1500;

/** Bytes buffered for a slow peer; above this limit a cast is dropped and a call fails. */
const SEND_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024;

export const KEEPALIVE_METHOD = 'link.check';

const RECEIVE_BUFFER_BYTES = 64 * 1024;

/** Shared by all connections: the bytes of each read are copied before the next one starts. */
const receiveBuffer = Buffer.allocUnsafeSlow(RECEIVE_BUFFER_BYTES);

interface PendingCall {
  readonly resolve: (body: unknown) => void;
  readonly reject: (error: RpcError) => void;
  readonly cancel: CancelTimer;
}

interface UnconfirmedCast {
  /** Id of the last call before the cast; the answer to any later one confirms the cast. */
  readonly lastCallId: number;
  readonly resolve: () => void;
  readonly reject: (error: RpcError) => void;
}

export interface PeerConnectionOptions {
  readonly address: Address;
  readonly clock: Clock;
  /** Called when the connection is established or lost. */
  readonly onState: (connected: boolean, reason: string) => void;
}

/** Connection to another process; opened by the first message, and by the next after a loss. */
export class PeerConnection {
  readonly #options: PeerConnectionOptions;
  readonly #pending = new Map<number, PendingCall>();
  /** Oldest first; all sent on the present socket. */
  #unconfirmedCasts: UnconfirmedCast[] = [];
  #socket: Socket | undefined;
  #connected = false;
  #failedAt = -Infinity;
  #lastReceivedAt = -Infinity;
  /** Time of the first call since bytes were received; undefined if no answer is due. */
  #awaitingSince: number | undefined;
  /** Queued bytes, and bytes sent so far, at the last keepalive check. */
  #sendProgress = { queuedBytes: 0, sentBytes: 0 };
  #lastId = 0;
  #cancelKeepalive: CancelTimer = () => undefined;
  #sentSinceKeepalive = false;

  constructor(options: PeerConnectionOptions) {
    this.#options = options;
  }

  get connected(): boolean {
    return this.#connected;
  }

  /** Bytes that the peer has not taken yet. */
  get queuedBytes(): number {
    return this.#socket?.writableLength ?? 0;
  }

  /** Rejects with an {@link RpcError}, after `milliseconds` at the latest. */
  call(method: string, body: unknown, milliseconds: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      this.#lastId += 1;
      const id = this.#lastId;
      const cancel = this.#options.clock.after(milliseconds, () => {
        this.#pending.delete(id);
        reject(this.#error('lost', `no response to ${method} within ${milliseconds} ms`));
      });
      this.#pending.set(id, { resolve, reject, cancel });
      if (this.#write({ kind: 'call', id, method, body })) {
        this.#awaitingSince ??= this.#options.clock.monotonic();
        return;
      }
      this.#pending.delete(id);
      cancel();
      reject(
        this.#error('unreachable', `not connected or send buffer full; ${method} was not sent`),
      );
    });
  }

  /** Sends a one-way message, which may be lost. */
  cast(method: string, body: unknown): void {
    this.#write({ kind: 'cast', method, body });
  }

  /**
   * Sends a one-way message; resolves once the peer has read it. The answer to any later call, at the
   * latest to the next keepalive, shows that, since a connection keeps the order of its frames.
   */
  castConfirmed(method: string, body: unknown): Promise<void> {
    return new Promise((resolve, reject) => {
      if (this.#write({ kind: 'cast', method, body })) {
        this.#unconfirmedCasts.push({ lastCallId: this.#lastId, resolve, reject });
      } else {
        reject(this.#error('unreachable', `not connected or send buffer full; ${method} not sent`));
      }
    });
  }

  close(): void {
    this.#disconnect(this.#socket, 'closed locally');
  }

  #write(frame: Frame): boolean {
    const socket = this.#socket ?? this.#open();
    if (socket === undefined || socket.writableLength > SEND_BUFFER_LIMIT_BYTES) return false;
    writeFrame(socket, frame);
    this.#sentSinceKeepalive = true;
    return true;
  }

  #open(): Socket | undefined {
    const { address, clock } = this.#options;
    if (clock.monotonic() - this.#failedAt < RECONNECT_DELAY_MILLISECONDS) return undefined;
    const decoder = new FrameDecoder();
    const socket = connect({
      host: address.host,
      port: address.port,
      noDelay: true,
      // Reading into one buffer avoids an allocation of 64 KB and the stream events of each read.
      onread: {
        buffer: receiveBuffer,
        callback: (length, buffer) => {
          this.#receive(socket, decoder, copyOf(buffer, length));
          return true;
        },
      },
    });
    this.#socket = socket;
    const cancelConnect = clock.after(CONNECT_TIMEOUT_MILLISECONDS, () => {
      this.#disconnect(socket, 'connect timeout');
    });
    socket.once('connect', () => {
      cancelConnect();
      this.#connected = true;
      this.#lastReceivedAt = clock.monotonic();
      if (this.#awaitingSince !== undefined) this.#awaitingSince = this.#lastReceivedAt;
      this.#options.onState(true, 'connected');
      this.#scheduleKeepalive(socket);
    });
    socket.once('error', (error) => {
      this.#disconnect(socket, error.message);
    });
    socket.once('close', () => {
      cancelConnect();
      this.#disconnect(socket, 'closed by the peer');
    });
    return socket;
  }

  #receive(socket: Socket, decoder: FrameDecoder, chunk: Buffer): void {
    this.#lastReceivedAt = this.#options.clock.monotonic();
    this.#awaitingSince = undefined;
    try {
      for (const frame of decoder.push(chunk)) this.#dispatch(frame);
    } catch (error) {
      this.#disconnect(socket, error instanceof Error ? error.message : 'invalid frame');
    }
  }

  #dispatch(frame: Frame): void {
    if (frame.kind === 'call' || frame.kind === 'cast') return;
    this.#confirmCastsBefore(frame.id);
    const pending = this.#pending.get(frame.id);
    if (pending === undefined) return;
    this.#pending.delete(frame.id);
    pending.cancel();
    if (frame.kind === 'answer') pending.resolve(frame.body);
    else pending.reject(this.#error('failed', frame.message));
  }

  #confirmCastsBefore(callId: number): void {
    if (this.#unconfirmedCasts.length === 0) return;
    const firstLater = this.#unconfirmedCasts.findIndex(({ lastCallId }) => lastCallId >= callId);
    const count = firstLater < 0 ? this.#unconfirmedCasts.length : firstLater;
    for (const cast of this.#unconfirmedCasts.splice(0, count)) cast.resolve();
  }

  /** Detects a peer that failed without closing the connection. */
  #scheduleKeepalive(socket: Socket): void {
    const { clock } = this.#options;
    this.#cancelKeepalive = clock.after(KEEPALIVE_INTERVAL_MILLISECONDS, () => {
      if (this.#socket !== socket) return;
      this.#recordSendProgress(socket);
      const idleMilliseconds = clock.monotonic() - (this.#awaitingSince ?? Infinity);
      if (idleMilliseconds > IDLE_TIMEOUT_MILLISECONDS) {
        const reason = `no bytes received for ${Math.round(idleMilliseconds)} ms after a call`;
        this.#disconnect(socket, reason);
        return;
      }
      this.#sendKeepaliveIfNeeded();
      this.#scheduleKeepalive(socket);
    });
  }

  /** A peer that reads what is queued for it is alive, although its answers wait behind that. */
  #recordSendProgress(socket: Socket): void {
    const queuedBytes = socket.writableLength;
    const sentBytes = socket.bytesWritten - queuedBytes;
    const previous = this.#sendProgress;
    this.#sendProgress = { queuedBytes, sentBytes };
    const isSending = previous.queuedBytes > 0 && sentBytes > previous.sentBytes;
    if (isSending && this.#awaitingSince !== undefined) {
      this.#awaitingSince = this.#options.clock.monotonic();
    }
  }

  /** Sends a keepalive call if messages were sent but nothing was received for an interval. */
  #sendKeepaliveIfNeeded(): void {
    const idleMilliseconds = this.#options.clock.monotonic() - this.#lastReceivedAt;
    if (!this.#sentSinceKeepalive || idleMilliseconds < KEEPALIVE_INTERVAL_MILLISECONDS) return;
    this.call(KEEPALIVE_METHOD, null, IDLE_TIMEOUT_MILLISECONDS * 2).catch(() => undefined);
    this.#sentSinceKeepalive = false;
  }

  #disconnect(socket: Socket | undefined, reason: string): void {
    if (socket === undefined || this.#socket !== socket) return;
    this.#socket = undefined;
    this.#awaitingSince = undefined;
    this.#sendProgress = { queuedBytes: 0, sentBytes: 0 };
    this.#cancelKeepalive();
    socket.destroy();
    const wasConnected = this.#connected;
    this.#connected = false;
    if (!wasConnected) this.#failedAt = this.#options.clock.monotonic();
    const failure = wasConnected ? 'lost' : 'unreachable';
    const unconfirmed = this.#unconfirmedCasts;
    this.#unconfirmedCasts = [];
    for (const cast of unconfirmed) cast.reject(this.#error(failure, reason));
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

/** Not from Node's buffer pool, which a retained part of a frame would keep in memory as a whole. */
function copyOf(buffer: Uint8Array, length: number): Buffer {
  const copy = Buffer.allocUnsafeSlow(length);
  copy.set(length === buffer.length ? buffer : buffer.subarray(0, length));
  return copy;
}
