import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { type Clock, type Component, addressSchema, delay } from '../src/core';
import { PausePoint } from './pause-point';
import { StandInServer, readText, sendJson } from './http';

/** Settings of the stand-in plain service. */
export const plainSettingsSchema = z.strictObject({
  address: addressSchema,
  name: z.string().default('service'),
  'work-milliseconds': z.number().nonnegative().default(0),
  /** Number of calls that run and whose connection is then closed without a response. */
  'lose-answers': z.int().nonnegative().default(0),
  /** Number of calls whose connection is closed without running them. */
  'lose-calls': z.int().nonnegative().default(0),
  /** Holds responses from this call on until `POST /release`; 0 for none. */
  'hold-from-call': z.int().nonnegative().default(0),
  /** Accepts calls and never responds, as a tool that hangs. */
  hang: z.boolean().default(false),
});
export type PlainSettings = Readonly<z.output<typeof plainSettingsSchema>>;

/** A stand-in for a plain service or a tool; `GET /executions` returns executions by request id. */
export class PlainServer implements Component {
  readonly #settings: PlainSettings;
  readonly #clock: Clock;
  readonly #server: StandInServer;
  readonly #executions = new Map<string, number>();
  readonly #pausePoint: PausePoint;
  #executionCount = 0;
  #remainingLostResponses: number;
  #remainingLostCalls: number;

  constructor(settings: PlainSettings, clock: Clock) {
    this.#settings = settings;
    this.#clock = clock;
    this.#pausePoint = new PausePoint(settings['hold-from-call']);
    this.#remainingLostResponses = settings['lose-answers'];
    this.#remainingLostCalls = settings['lose-calls'];
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
      sendJson(response, 200, { total: this.#executionCount, executions });
      return;
    }
    if (await this.#handlePauseRequest(request, response)) return;
    const body = await readText(request);
    if (this.#settings.hang) return;
    if (this.#remainingLostCalls > 0) {
      this.#remainingLostCalls -= 1;
      response.destroy();
      return;
    }
    const execution = this.#execute(String(request.headers['x-request-id'] ?? 'none'));
    await delay(this.#clock, this.#settings['work-milliseconds']);
    await this.#pausePoint.advance(1);
    if (this.#remainingLostResponses > 0) {
      this.#remainingLostResponses -= 1;
      response.destroy();
      return;
    }
    const { method = '', url = '' } = request;
    sendJson(response, 200, { service: this.#settings.name, method, path: url, execution, body });
  }

  /** `GET /held` responds once a call is held, `POST /release` lets held calls continue. */
  async #handlePauseRequest(request: IncomingMessage, response: ServerResponse): Promise<boolean> {
    if (request.url === '/held') await this.#pausePoint.reached;
    else if (request.url === '/release') this.#pausePoint.release();
    else return false;
    sendJson(response, 200, {});
    return true;
  }

  #execute(id: string): number {
    this.#executions.set(id, (this.#executions.get(id) ?? 0) + 1);
    this.#executionCount += 1;
    return this.#executionCount;
  }
}
