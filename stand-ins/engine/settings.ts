import * as z from 'zod';
import { addressSchema } from '../../src/core';

/** Settings of the stand-in engine, each fault with a switch of its own. */
export const engineSettingsSchema = z.strictObject({
  address: addressSchema,
  model: z.string().default('stand-in'),
  'step-milliseconds': z.number().nonnegative().default(8),
  'sequence-milliseconds': z.number().nonnegative().default(0.25),
  'prefill-token-milliseconds': z.number().nonnegative().default(0.05),
  'batch-limit': z.int().positive().default(32),
  'cache-blocks': z.int().positive().default(4096),
  'checks-fencing': z.boolean().default(true),
  /** Age of the load that is reported. */
  'load-lag-milliseconds': z.int().nonnegative().default(500),
  'event-delay-milliseconds': z.int().nonnegative().default(200),
  'lose-every-event': z.int().nonnegative().default(0),
  /** Breaks a stream off after so many tokens; 0 for never. */
  'break-after-tokens': z.int().nonnegative().default(0),
  /** How many streams are broken off before the fault ends. */
  'break-count': z.int().nonnegative().default(0),
  /** Answers every call with this status; 0 for none. */
  'fail-status': z.int().default(0),
  /** Takes calls and never answers. */
  hang: z.boolean().default(false),
  /** Stands still after so many tokens until `POST /release`; 0 for never. */
  'hold-after-tokens': z.int().nonnegative().default(0),
  /** How long a stream whose caller left can be resumed. */
  'resume-milliseconds': z.int().nonnegative().default(0),
});
export type EngineSettings = Readonly<z.output<typeof engineSettingsSchema>>;
