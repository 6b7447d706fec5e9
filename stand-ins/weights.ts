import * as z from 'zod';
import { type Clock, type Component, addressSchema } from '../src/core';
import { StandInServer, sendJson } from './http';

/** Settings of the stand-in weight store. */
export const weightsSettingsSchema = z.strictObject({
  address: addressSchema,
  'downloads-per-second': z.number().positive().default(2),
});
export type WeightsSettings = Readonly<z.output<typeof weightsSettingsSchema>>;

/**
 * A stand-in for the store of model weights; responds 429 to `GET /weights/{name}` above its rate.
 */
export class WeightStore implements Component {
  readonly #server: StandInServer;

  constructor(settings: WeightsSettings, clock: Clock) {
    const interval = 1000 / settings['downloads-per-second'];
    let nextAt = 0;
    this.#server = new StandInServer(settings.address, (request, response) => {
      const now = clock.monotonic();
      if (now < nextAt) {
        response.setHeader('retry-after', String(Math.ceil((nextAt - now) / 1000)));
        sendJson(response, 429, { error: 'too many downloads' });
        return;
      }
      nextAt = now + interval;
      sendJson(response, 200, { weights: (request.url ?? '').split('/').at(-1) });
    });
  }

  start(): Promise<void> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }
}
