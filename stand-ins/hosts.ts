import * as z from 'zod';
import { type Clock, type Component, addressSchema } from '../src/core';
import { StandInServer, readText, sendJson } from './http';

/** Settings of the stand-in for the platform's list of hosts. */
export const hostsSettingsSchema = z.strictObject({
  address: addressSchema,
  hosts: z.array(z.string()).default([]),
  /** Age of the list that is shown. */
  'lag-milliseconds': z.int().nonnegative().default(2000),
});
export type HostsSettings = Readonly<z.output<typeof hostsSettingsSchema>>;

const changeSchema = z.object({ host: z.string(), state: z.enum(['live', 'leaving', 'gone']) });
type HostChange = z.output<typeof changeSchema>;

/** A stand-in for the platform's list of live and leaving hosts, which lags behind the truth. */
export class HostList implements Component {
  readonly #server: StandInServer;
  readonly #clock: Clock;
  readonly #lag: number;
  readonly #changes: { readonly at: number; readonly change: HostChange }[];

  constructor(settings: HostsSettings, clock: Clock) {
    this.#clock = clock;
    this.#lag = settings['lag-milliseconds'];
    this.#changes = settings.hosts.map((host) => ({
      at: -Infinity,
      change: { host, state: 'live' },
    }));
    this.#server = new StandInServer(settings.address, async (request, response) => {
      if (request.method === 'POST') {
        const change = changeSchema.parse(JSON.parse(await readText(request)));
        this.#changes.push({ at: this.#clock.monotonic(), change });
      }
      sendJson(response, 200, { hosts: this.#shown() });
    });
  }

  start(): Promise<void> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }

  #shown(): readonly HostChange[] {
    const newest = new Map<string, HostChange>();
    const visible = this.#clock.monotonic() - this.#lag;
    for (const { at, change } of this.#changes) {
      if (at <= visible) newest.set(change.host, change);
    }
    return [...newest.values()].filter(({ state }) => state !== 'gone');
  }
}
