import * as z from 'zod';
import { addressSchema } from '../../src/core';

/** Settings of the stand-in engine; each fault is enabled by its own key. */
export const engineSettingsSchema = z.strictObject({
  address: addressSchema,
  model: z.string().default('stand-in'),
  'step-milliseconds': z.number().nonnegative().default(8),
  'sequence-milliseconds': z.number().nonnegative().default(0.25),
  'prefill-token-milliseconds': z.number().nonnegative().default(0.05),
  'batch-limit': z.int().positive().default(32),
  'cache-blocks': z.int().positive().default(4096),
  'checks-fencing': z.boolean().default(true),
  /** Minimum interval between updates of the reported load. */
  'load-lag-milliseconds': z.int().nonnegative().default(500),
  'event-delay-milliseconds': z.int().nonnegative().default(200),
  'lose-every-event': z.int().nonnegative().default(0),
  /** Closes the connection of a stream after this many tokens; 0 for never. */
  'break-after-tokens': z.int().nonnegative().default(0),
  /** Number of streams to which `break-after-tokens` applies. */
  'break-count': z.int().nonnegative().default(0),
  /** Responds to every call with this status; 0 to disable. */
  'fail-status': z.int().default(0),
  /** Accepts calls and never responds. */
  hang: z.boolean().default(false),
  /** Pauses after this many tokens until `POST /release`; 0 for never. */
  'hold-after-tokens': z.int().nonnegative().default(0),
  /** How long a stream can be resumed after its caller disconnected. */
  'resume-milliseconds': z.int().nonnegative().default(0),
});
export type EngineSettings = Readonly<z.output<typeof engineSettingsSchema>>;
