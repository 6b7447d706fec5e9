import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { type Clock, type Component, addressSchema, delay } from '../src/core';
import { Hold } from './hold';
import { StandInServer, readText, sendJson } from './http';

/** Settings of the stand-in plain service. */
export const plainSettingsSchema = z.strictObject({
  address: addressSchema,
  name: z.string().default('service'),
  'work-milliseconds': z.number().nonnegative().default(0),
  /** Runs the call, then drops the connection; that many times. */
  'lose-answers': z.int().nonnegative().default(0),
  /** Drops the connection without running the call; that many times. */
  'lose-calls': z.int().nonnegative().default(0),
  /** Holds the answers from this call on until `POST /release`; 0 for never. */
  'hold-from-call': z.int().nonnegative().default(0),
  /** Takes calls and never answers, like a tool that hangs. */
  hang: z.boolean().default(false),
});
export type PlainSettings = Readonly<z.output<typeof plainSettingsSchema>>;

/**
 * A stand-in for a plain service or a tool: it counts the executions of each request id, and
 * tells them at `GET /executions`.
 */
export class PlainServer implements Component {
  readonly #settings: PlainSettings;
  readonly #clock: Clock;
  readonly #server: StandInServer;
  readonly #executions = new Map<string, number>();
  readonly #hold: Hold;
  #total = 0;
  #answersToLose: number;
  #callsToLose: number;

  constructor(settings: PlainSettings, clock: Clock) {
    this.#settings = settings;
    this.#clock = clock;
    this.#hold = new Hold(settings['hold-from-call']);
    this.#answersToLose = settings['lose-answers'];
    this.#callsToLose = settings['lose-calls'];
    this.#server = new StandInServer(settings.address, (request, response) =>
      this.#handle(request, response),
    );
  }

  start(): Promise<void> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method === 'GET' && request.url === '/executions') {
      const executions = Object.fromEntries(this.#executions);
      sendJson(response, 200, { total: this.#total, executions });
      return;
    }
    if (await this.#handleHold(request, response)) return;
    const body = await readText(request);
    if (this.#settings.hang) return;
    if (this.#callsToLose > 0) {
      this.#callsToLose -= 1;
      response.destroy();
      return;
    }
    const execution = this.#execute(String(request.headers['x-request-id'] ?? 'none'));
    await delay(this.#clock, this.#settings['work-milliseconds']);
    await this.#hold.pass(1);
    if (this.#answersToLose > 0) {
      this.#answersToLose -= 1;
      response.destroy();
      return;
    }
    const { method = '', url = '' } = request;
    sendJson(response, 200, { service: this.#settings.name, method, path: url, execution, body });
  }

  /** `GET /held` answers once a call is held, `POST /release` lets it go. */
  async #handleHold(request: IncomingMessage, response: ServerResponse): Promise<boolean> {
    if (request.url === '/held') await this.#hold.reached;
    else if (request.url === '/release') this.#hold.release();
    else return false;
    sendJson(response, 200, {});
    return true;
  }

  #execute(id: string): number {
    this.#executions.set(id, (this.#executions.get(id) ?? 0) + 1);
    this.#total += 1;
    return this.#total;
  }
}
