import * as z from 'zod';
import { SystemClock, addressSchema } from '../core';
import { ControlClient } from '../protocol';
import { loadSettings } from '../settings';

/** Settings of the operators' command line. */
export const operatorSettingsSchema = z.strictObject({
  operator: z.strictObject({
    /** The control hosts, as in the processes' settings. */
    control: z
      .array(z.strictObject({ name: z.string(), address: addressSchema }))
      .min(1)
      .readonly(),
    credential: z.string().min(16),
  }),
});

/** Runs something with a connection to the control hosts. */
export async function withControl<T>(
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
