import type { Socket } from 'node:net';
import type { Address, Component } from '../src/core';
import { resetConnection } from '../src/http';
import { StandInServer, readText } from './http';

/** The beginning of a response's head, after which the server ends the connection. */
export interface UnfinishedHead {
  /** Each is sent in a packet of its own. */
  readonly pieces: readonly string[];
  readonly ending: 'close' | 'reset';
}

/** Time between two packets. */
const PACKET_INTERVAL_MILLISECONDS = 2;

const ENDINGS = ['close', 'reset'] as const;

/** Heads with each framing, and after informational responses (RFC 9112, section 6; RFC 9110, 15.2). */
function headsWith(fields: readonly string[]): readonly string[] {
  const lines = [...fields, 'content-type: text/plain'];
  const format = (...more: string[]) => ['HTTP/1.1 200 OK', ...lines, ...more, '', ''].join('\r\n');
  return [
    format('content-length: 2'),
    format('content-length: 0'),
    format('transfer-encoding: chunked'),
    format(),
    format('connection: close'),
    `HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n${format('content-length: 2')}`,
    `HTTP/1.1 100 Continue\r\n\r\n${format('content-length: 2')}`,
  ];
}

/**
 * Heads that are cut after every byte, or after each `step` bytes, in one packet or two. `fields` stand
 * in each of them.
 */
export function unfinishedHeads(fields: readonly string[], step = 1): readonly UnfinishedHead[] {
  return headsWith(fields).flatMap((head) =>
    Array.from({ length: Math.floor((head.length - 1) / step) }, (_, index) => {
      const part = head.slice(0, 1 + index * step);
      const middle = part.length >> 1;
      const pieces = index % 2 === 0 ? [part] : [part.slice(0, middle), part.slice(middle)];
      return { pieces, ending: ENDINGS[(index >> 1) % 2] ?? 'close' };
    }),
  );
}

export async function sendUnfinishedHead(
  socket: Socket,
  { pieces, ending }: UnfinishedHead,
): Promise<void> {
  for (const [index, piece] of pieces.entries()) {
    if (index > 0) await pause();
    // A receiver may close the connection at an informational response that it did not ask for.
    await new Promise((resolve) => socket.write(piece, resolve));
  }
  if (ending === 'reset') resetConnection(socket);
  else socket.end();
}

function pause(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, PACKET_INTERVAL_MILLISECONDS);
  });
}

/** A server that answers with the next unfinished head, and without one with a whole response. */
export class UnfinishedHeadServer implements Component {
  readonly heads: UnfinishedHead[] = [];
  readonly #server: StandInServer;

  constructor(address: Address) {
    this.#server = new StandInServer(address, async (request, response) => {
      await readText(request);
      const head = this.heads.shift();
      if (head === undefined) response.end('whole');
      else await sendUnfinishedHead(request.socket, head);
    });
  }

  start(): Promise<void> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }
}
