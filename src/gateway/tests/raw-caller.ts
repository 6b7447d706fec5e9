import { type Socket, connect } from 'node:net';
import type { Address } from '../../core';

/** A caller's connection to which the test writes its own bytes. */
export class RawCaller {
  /** Resolves when the connection has ended, in order or by a reset. */
  readonly closed: Promise<void>;
  readonly #socket: Socket;
  readonly #chunks: Buffer[] = [];
  #receivedBytes = 0;
  #onData: () => void = () => undefined;

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.on('data', (chunk) => {
      this.#chunks.push(chunk);
      this.#receivedBytes += chunk.length;
      this.#onData();
    });
    // A reset is reported as the end of the connection.
    socket.on('error', () => undefined);
    this.closed = new Promise((resolve) => {
      socket.once('close', () => {
        resolve();
      });
    });
  }

  /** Resolves when the connection is established, which the server may not have accepted yet. */
  static async connect({ host, port }: Address): Promise<RawCaller> {
    const socket = connect({ host, port, noDelay: true });
    await new Promise((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return new RawCaller(socket);
  }

  get receivedText(): string {
    return Buffer.concat(this.#chunks).toString('latin1');
  }

  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Resolves when the bytes have been handed to the system. */
  send(text: string): Promise<void> {
    return new Promise((resolve) => {
      this.#socket.write(text, () => {
        resolve();
      });
    });
  }

  pauseReading(): void {
    this.#socket.pause();
  }

  resumeReading(): void {
    this.#socket.resume();
  }

  /** Resolves once `text` was received, or at the end of the connection. */
  untilReceived(text: string): Promise<void> {
    return this.#until(() => this.receivedText.includes(text));
  }

  /** Resolves once so many bytes were received, or at the end of the connection. */
  untilReceivedBytes(count: number): Promise<void> {
    return this.#until(() => this.#receivedBytes >= count);
  }

  close(): void {
    this.#socket.destroy();
  }

  async #until(isReached: () => boolean): Promise<void> {
    const reached = new Promise<void>((resolve) => {
      this.#onData = () => {
        if (isReached()) resolve();
      };
      this.#onData();
    });
    await Promise.race([reached, this.closed]);
    this.#onData = () => undefined;
  }
}
