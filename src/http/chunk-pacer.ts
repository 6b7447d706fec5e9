import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Chunks of one connection in one turn of the event loop after which the connection pauses. */
const CHUNKS_PER_TURN = 256;

export interface ChunkPacerOptions {
  readonly chunksPerTurn?: number;
  /** Calls `action` in the next turn of the event loop. */
  readonly nextTurn?: (action: () => void) => void;
}

/**
 * Shares the processor between connections whose bodies come in very many small chunks and all
 * others. The HTTP parser handles a whole read at once, so a connection that has brought too many
 * chunks pauses, and one such connection is resumed in each turn of the event loop.
 */
export class ChunkPacer {
  readonly #options: Required<ChunkPacerOptions>;
  /** Chunks of each connection in this turn. */
  readonly #counts = new Map<Socket, number>();
  /** Requests whose connections are paused, in the order of their turns. */
  readonly #paused: IncomingMessage[] = [];
  #isTurnScheduled = false;

  constructor(options: ChunkPacerOptions = {}) {
    this.#options = {
      chunksPerTurn: CHUNKS_PER_TURN,
      nextTurn: (action) => setImmediate(action),
      ...options,
    };
  }

  /** Counts a chunk of a body that has been received. */
  recordChunk(request: IncomingMessage): void {
    const { socket } = request;
    const count = (this.#counts.get(socket) ?? 0) + 1;
    this.#counts.set(socket, count);
    this.#scheduleTurn();
    if (count !== this.#options.chunksPerTurn) return;
    socket.pause();
    this.#paused.push(request);
  }

  #scheduleTurn(): void {
    if (this.#isTurnScheduled) return;
    this.#isTurnScheduled = true;
    this.#options.nextTurn(() => {
      this.#beginTurn();
    });
  }

  #beginTurn(): void {
    this.#isTurnScheduled = false;
    this.#counts.clear();
    // Node.js itself resumes a connection whose request has been read.
    let request = this.#paused.shift();
    while (request !== undefined && (request.complete || request.socket.destroyed)) {
      request = this.#paused.shift();
    }
    request?.socket.resume();
    if (this.#paused.length > 0) this.#scheduleTurn();
  }
}
