import * as z from 'zod';
import { addressSchema } from '../core';
import { decisionSwitchesSchema } from '../decisions';

const addressTextSchema = z.string().refine((text) => addressSchema.safeParse(text).success, {
  error: 'not an IP address with a port; write it like 10.0.0.7:8080',
});

const DEFAULT_MEMORY_MEGABYTES = 200;

const DEFAULT_DESCRIPTORS = 4096;

/** Settings of a gateway or store process. */
export const nodeSettingsSchema = z.strictObject({
  node: z.strictObject({
    name: z.string().min(1),
    'availability-zone': z.string(),
    /** IP:port of this process for the other processes; the port is the same on all hosts. */
    address: addressTextSchema,
    /** Whether this is the first start of the whole system, with all disks empty. */
    'first-start': z.boolean(),
    /** Operator addresses of some processes, from which the others are discovered. */
    seeds: z.array(addressTextSchema).readonly(),
    /** Number of hosts with a disk that may fail at the same time without data loss. */
    'tolerated-losses': z.int().nonnegative(),
    /** Time from the stop signal until the process is killed. */
    'stop-seconds': z.number().positive(),
    /** Folder on the host's disk; absent if it has none. */
    'data-folder': z.string().optional(),
    /** Share of a core that this process may use; from it follows what its own work costs callers. */
    'processor-share': z.number().positive().optional(),
    'log-level': z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  }),
  listen: z.strictObject({
    callers: addressTextSchema.optional(),
    readiness: addressTextSchema.optional(),
    operators: addressTextSchema.optional(),
    metrics: addressTextSchema.optional(),
  }),
  /** What the host gives this process; the limits of what callers may occupy follow from it. */
  resources: z
    .strictObject({
      /** Resident memory above which the process is ended, in units of 2^20 bytes. */
      'memory-megabytes': z.number().positive().default(DEFAULT_MEMORY_MEGABYTES),
      /** Sockets, pipes and files that the process may have open at once. */
      descriptors: z.int().positive().default(DEFAULT_DESCRIPTORS),
      /** Size of the disk, in units of 2^20 bytes; 0 without a disk, and not known if absent. */
      'disk-megabytes': z.number().nonnegative().optional(),
    })
    .prefault({}),
  'target-list': z.strictObject({
    address: addressTextSchema,
    /** Rate limit of all processes together. */
    'calls-per-second': z.number().positive(),
  }),
  teams: z
    .strictObject({
      /**
       * Maximum time from the acknowledgement of a key's removal until no process runs a request
       * with that key; if absent, a removal takes as long as any other configuration change.
       */
      'key-removal-milliseconds': z.number().positive().optional(),
    })
    .prefault({}),
  /** Switches mechanisms off for benchmarks; all are enabled by default. */
  decisions: decisionSwitchesSchema.prefault({}),
});

export type NodeSettings = Readonly<z.output<typeof nodeSettingsSchema>>;
