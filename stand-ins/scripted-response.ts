import type { Socket } from 'node:net';
import type { Address, Component } from '../src/core';
import { resetConnection } from '../src/http';
import { StandInServer, readText } from './http';

/** A response written byte for byte, to end where a server's HTTP library would not let it end. */
export interface ScriptedResponse {
  /** What delimits the body (RFC 9112, section 6.3). */
  readonly framing: 'length' | 'chunked' | 'connection';
  /** Left out if undefined. */
  readonly contentType?: string | undefined;
  readonly headers?: Readonly<Record<string, string>>;
  /** Each piece is written once the previous one has been handed to the system. */
  readonly body: readonly string[];
  /**
   * `complete`: ends the body as its framing asks. `close` closes the connection in order and `reset`
   * resets it; a chunked body then lacks its last chunk, one with a length its last bytes.
   */
  readonly ending: 'complete' | 'close' | 'reset';
  /** Written after the body again and again, until the receiver closes the connection. */
  readonly endless?: string | undefined;
  /** Called with the bytes written once the connection of an endless response is closed. */
  readonly onClosed?: ((bytes: number) => void) | undefined;
  /** Delays the ending, so that the receiver reads the body before it. */
  readonly beforeEnding?: Promise<void> | undefined;
}

const EVENT_STREAM = 'text/event-stream';

/** Responses of every framing that end before they are complete. */
export const BROKEN_OFF_RESPONSES: readonly ScriptedResponse[] = [
  { framing: 'connection', body: ['part'], ending: 'reset' },
  { framing: 'chunked', body: ['part'], ending: 'reset' },
  { framing: 'chunked', body: ['part'], ending: 'close' },
  { framing: 'length', body: ['part'], ending: 'reset' },
  { framing: 'length', body: ['part'], ending: 'close' },
  ...(['connection', 'chunked', 'length'] as const).map((framing) => ({
    framing,
    contentType: EVENT_STREAM,
    body: ['data: a\n\n', 'data: b'],
    ending: 'complete' as const,
  })),
];

/** Responses of every framing that are complete. */
export const WHOLE_RESPONSES: readonly ScriptedResponse[] = (
  ['connection', 'chunked', 'length'] as const
).flatMap((framing) => [
  { framing, body: ['who', 'le'], ending: 'complete' },
  {
    framing,
    contentType: EVENT_STREAM,
    body: ['data: a\n', '\ndata: b\n\n'],
    ending: 'complete',
  },
]);

/** Bytes that are announced by `content-length` and never sent. */
const MISSING_BYTES = 7;

/** Bytes of an endless response after which its connection is reset, to bound a failed test. */
const ENDLESS_LIMIT_BYTES = 64 * 1024 * 1024;

/** Writes a response with status 200 to a connection whose request has been read. */
export async function sendScripted(socket: Socket, script: ScriptedResponse): Promise<void> {
  if (script.endless !== undefined) {
    await writeEndlessly(socket, script, script.endless);
    script.onClosed?.(socket.bytesWritten);
    return;
  }
  await write(socket, formatHead(script));
  for (const piece of script.body) await write(socket, formatPiece(script, piece));
  await script.beforeEnding;
  if (script.ending === 'complete' && script.framing === 'chunked')
    await write(socket, '0\r\n\r\n');
  if (script.ending === 'reset') resetConnection(socket);
  else socket.end();
}

function formatHead({ framing, contentType, headers, body, ending }: ScriptedResponse): string {
  const length = Buffer.byteLength(body.join('')) + (ending === 'complete' ? 0 : MISSING_BYTES);
  const fields = {
    ...headers,
    ...(contentType === undefined ? {} : { 'content-type': contentType }),
    ...(framing === 'chunked' ? { 'transfer-encoding': 'chunked' } : {}),
    ...(framing === 'length' ? { 'content-length': String(length) } : {}),
    connection: 'close',
  };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
  return ['HTTP/1.1 200 OK', ...lines, '', ''].join('\r\n');
}

function formatPiece({ framing }: ScriptedResponse, piece: string): string {
  if (framing !== 'chunked') return piece;
  return `${Buffer.byteLength(piece).toString(16)}\r\n${piece}\r\n`;
}

async function writeEndlessly(
  socket: Socket,
  script: ScriptedResponse,
  endless: string,
): Promise<void> {
  // A receiver that closes the connection may reset it.
  socket.on('error', () => undefined);
  const writeUnlessClosed = (text: string) =>
    new Promise((resolve) => {
      socket.write(text, resolve);
    });
  await writeUnlessClosed(formatHead(script));
  for (const piece of script.body) await writeUnlessClosed(formatPiece(script, piece));
  const text = formatPiece(script, endless);
  while (!socket.destroyed && socket.bytesWritten < ENDLESS_LIMIT_BYTES) {
    await writeUnlessClosed(text);
  }
  resetConnection(socket);
}

function write(socket: Socket, text: string): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.write(text, (error) => {
      if (error) reject(error);
      else resolve();
    });
  });
}

/** A server that responds to each request with the next script, and without one with an empty 200. */
export class ScriptedServer implements Component {
  readonly scripts: ScriptedResponse[] = [];
  readonly #server: StandInServer;

  constructor(address: Address) {
    this.#server = new StandInServer(address, async (request, response) => {
      await readText(request);
      const script = this.scripts.shift();
      if (script === undefined) response.end();
      else await sendScripted(request.socket, script);
    });
  }

  start(): Promise<void> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }
}
