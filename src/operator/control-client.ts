import * as z from 'zod';
import { SystemClock, addressSchema } from '../core';
import { ControlClient } from '../protocol';
import { loadSettings } from '../settings';

/** Settings file of the `martenbay` command. */
export const operatorSettingsSchema = z.strictObject({
  operator: z.strictObject({
    /** Control hosts, as in `cluster.control` of the process settings. */
    control: z
      .array(z.strictObject({ name: z.string(), address: addressSchema }))
      .min(1)
      .readonly(),
    credential: z.string().min(16),
  }),
});

/** Runs `operate` with a client of the control hosts that is closed afterwards. */
export async function withControlClient<T>(
  settingsFile: string,
  operate: (client: ControlClient) => Promise<T>,
): Promise<T> {
  const { operator } = loadSettings(operatorSettingsSchema, settingsFile);
  const { control: members, credential } = operator;
  const client = new ControlClient({ members, credential, clock: new SystemClock() });
  try {
    return await operate(client);
  } finally {
    client.stop();
  }
}
