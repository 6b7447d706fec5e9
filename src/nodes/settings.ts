import * as z from 'zod';
import { addressSchema } from '../core';
import { decisionSwitchesSchema } from '../decisions';

const addressText = z.string().refine((text) => addressSchema.safeParse(text).success, {
  error: 'not an IP number with a port; write it like 10.0.0.7:8080',
});

/** Settings of one process that runs as a gateway or a store. */
export const nodeSettingsSchema = z.strictObject({
  node: z.strictObject({
    name: z.string().min(1),
    'availability-zone': z.string(),
    /** IP:port of the connections between the system's processes; the port is the same everywhere. */
    address: addressText,
    /** Whether this is the first start of the whole system, with all disks empty. */
    'first-start': z.boolean(),
    /** Operators' addresses of some processes, by which the others are found. */
    seeds: z.array(addressText).readonly(),
    /** Hosts with a disk that may be lost at the same time with nothing lost. */
    'tolerated-losses': z.int().nonnegative(),
    /** Time from the signal to stop until the process is killed; seconds. */
    'stop-seconds': z.number().positive(),
    /** Folder on the host's disk; left out where there is none. */
    'data-folder': z.string().optional(),
    'log-level': z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  }),
  listen: z.strictObject({
    callers: addressText.optional(),
    readiness: addressText.optional(),
    operators: addressText.optional(),
    metrics: addressText.optional(),
  }),
  'target-list': z.strictObject({
    address: addressText,
    /** Calls a second that all processes may make together. */
    'calls-per-second': z.number().positive(),
  }),
  /** What holds for teams, where the configuration has them. */
  teams: z
    .strictObject({
      /**
       * Time after the acknowledgement of a key's removal in which no request may run under it any more, at
       * any process; left out where a removal may take as long as any other change. Milliseconds.
       */
      'key-removal-milliseconds': z.number().positive().optional(),
    })
    .prefault({}),
  /** Mechanisms that are switched off, for measurements; left out, all are in use. */
  decisions: decisionSwitchesSchema.prefault({}),
});

export type NodeSettings = Readonly<z.output<typeof nodeSettingsSchema>>;
