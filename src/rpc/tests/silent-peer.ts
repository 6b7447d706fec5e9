import { type Server, type Socket, createServer } from 'node:net';
import type { Address } from '../../core';
import { findFreeAddresses } from '../../local';
import { FrameDecoder, encodeFrame } from '..';

/** A peer that answers calls at once, and once it is silent only when told. */
export class SilentPeer {
  readonly address: Address;
  readonly #server: Server;
  readonly #sockets: Socket[] = [];
  readonly #unanswered: (() => void)[] = [];
  #isSilent = false;
  #onCall: () => void = () => undefined;

  private constructor(address: Address) {
    this.address = address;
    this.#server = createServer((socket) => {
      this.#accept(socket);
    });
  }

  static async start(): Promise<SilentPeer> {
    const [address] = await findFreeAddresses(['127.0.0.1']);
    if (address === undefined) throw new Error('findFreeAddresses returned no address');
    const peer = new SilentPeer(address);
    await new Promise<void>((resolve) => {
      peer.#server.listen(address.port, address.host, resolve);
    });
    return peer;
  }

  becomeSilent(): void {
    this.#isSilent = true;
  }

  /** Resolves once a call is unanswered. */
  async untilCalled(): Promise<void> {
    if (this.#unanswered.length > 0) return;
    await new Promise<void>((resolve) => {
      this.#onCall = resolve;
    });
  }

  /** Leaves what arrives unread. */
  stopReading(): void {
    for (const socket of this.#sockets) socket.pause();
  }

  startReading(): void {
    for (const socket of this.#sockets) socket.resume();
  }

  answerAll(): void {
    for (const answer of this.#unanswered.splice(0)) answer();
  }

  stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #accept(socket: Socket): void {
    const decoder = new FrameDecoder();
    this.#sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      for (const frame of decoder.push(chunk)) {
        if (frame.kind !== 'call') continue;
        const { id } = frame;
        this.#unanswered.push(() => {
          socket.write(encodeFrame({ kind: 'answer', id, body: 0 }));
        });
        if (!this.#isSilent) this.answerAll();
        this.#onCall();
      }
    });
  }
}
