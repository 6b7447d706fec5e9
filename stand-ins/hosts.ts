import * as z from 'zod';
import { type Clock, type Component, addressSchema } from '../src/core';
import { StandInServer, readText, sendJson } from './http';

/** Settings of the stand-in for the platform's list of hosts. */
export const hostsSettingsSchema = z.strictObject({
  address: addressSchema,
  hosts: z.array(z.string()).default([]),
  /** Delay until a change appears in the list. */
  'lag-milliseconds': z.int().nonnegative().default(2000),
});
export type HostsSettings = Readonly<z.output<typeof hostsSettingsSchema>>;

const changeSchema = z.object({ host: z.string(), state: z.enum(['live', 'leaving', 'gone']) });
type HostChange = z.output<typeof changeSchema>;

/** A stand-in for the platform's list of hosts, in which changes appear after a delay. */
export class HostList implements Component {
  readonly #server: StandInServer;
  readonly #clock: Clock;
  readonly #lagMilliseconds: number;
  readonly #changes: { readonly at: number; readonly change: HostChange }[];

  constructor(settings: HostsSettings, clock: Clock) {
    this.#clock = clock;
    this.#lagMilliseconds = settings['lag-milliseconds'];
    this.#changes = settings.hosts.map((host) => ({
      at: -Infinity,
      change: { host, state: 'live' },
    }));
    this.#server = new StandInServer(settings.address, async (request, response) => {
      if (request.method === 'POST') {
        const change = changeSchema.parse(JSON.parse(await readText(request)));
        this.#changes.push({ at: this.#clock.monotonic(), change });
      }
      sendJson(response, 200, { hosts: this.#visibleHosts() });
    });
  }

  start(): Promise<void> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }

  #visibleHosts(): readonly HostChange[] {
    const latest = new Map<string, HostChange>();
    const visibleUntil = this.#clock.monotonic() - this.#lagMilliseconds;
    for (const { at, change } of this.#changes) {
      if (at <= visibleUntil) latest.set(change.host, change);
    }
    return [...latest.values()].filter(({ state }) => state !== 'gone');
  }
}
