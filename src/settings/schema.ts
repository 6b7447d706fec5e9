import * as z from 'zod';
import { addressSchema, nameSchema as name } from '../core';

const milliseconds = z.int().positive();
const logLevel = z.enum(['debug', 'info', 'warn', 'error']).default('info');

const member = z.strictObject({
  name,
  address: addressSchema,
  /** Region whose programs it holds; every control host holds the configuration. */
  region: name.default('main'),
});

/** What every process of one installation shares. */
const cluster = z.strictObject({
  /** The control hosts, the same list in every process. */
  control: z.array(member).min(1).readonly(),
  /**
   * Groups that the programs of each region are spread over, the same in every process. It may be
   * raised: programs stay in the group that they were started in.
   */
  'program-groups': z.int().min(1).max(64).default(4),
  /** Secret that processes show one another. */
  'process-credential': z.string().min(16),
});

const host = z.strictObject({
  name,
  'availability-zone': name,
  /** Address that this process listens on. */
  address: addressSchema,
  'log-level': logLevel,
});

/** Settings of `martenbay-control`. */
export const controlSettingsSchema = z.strictObject({
  host,
  cluster,
  control: z.strictObject({
    /** Folder of all durable state. */
    'data-folder': z.string().min(1),
    /** Secret that operators' command lines show. */
    'operator-credential': z.string().min(16),
    'heartbeat-milliseconds': milliseconds.default(100),
    /** Shortest silence after which a member stands for election; the longest is half as much again. */
    'election-milliseconds': milliseconds.default(500),
    /** Applied changes of one group from which a snapshot takes their place. */
    'snapshot-entries': z.int().min(16).default(4096),
    /** Histories and answers used lately that each group holds in memory. */
    'history-cache-megabytes': z.int().nonnegative().default(16),
    /** How long an entry or sidecar counts as live after its last heartbeat. */
    'session-milliseconds': milliseconds.default(3000),
    /** How long an ended program's answers are kept for resends. */
    'retention-seconds': z.int().positive().default(600),
    /** How often idle programs and held cache are looked for. */
    'sweep-milliseconds': milliseconds.default(1000),
  }),
  /** What the platform offers; without it, only the sidecars tell that a target leaves. */
  platform: z
    .strictObject({
      /** Where the list of live and leaving hosts is read. */
      'host-list': addressSchema,
      'host-list-milliseconds': milliseconds.default(1000),
    })
    .optional(),
});

/** Settings of `martenbay-entry`. */
export const entrySettingsSchema = z.strictObject({
  host,
  cluster,
  entry: z
    .strictObject({
      'heartbeat-milliseconds': milliseconds.default(1000),
      /** Deadline of a call that names none. */
      'default-deadline-milliseconds': milliseconds.default(120_000),
      /** Largest request body, in bytes. */
      'body-limit-bytes': z.int().positive().default(8_388_608),
      /** Largest total of request headers, in bytes. */
      'header-limit-bytes': z.int().positive().default(16_384),
      policy: z.enum(['round-robin', 'least-load', 'affinity']).default('affinity'),
    })
    .prefault({}),
});

/** Settings of `martenbay-sidecar`. */
export const sidecarSettingsSchema = z.strictObject({
  host,
  cluster,
  sidecar: z.strictObject({
    /** Name of the target in the operators' files. */
    target: name,
    /** Where the target itself listens. */
    'target-address': addressSchema,
    'heartbeat-milliseconds': milliseconds.default(1000),
    /** How often the target's load is read. */
    'load-milliseconds': milliseconds.default(1000),
    /** Calls under way at the target beyond which a new one is refused as not run. */
    'calls-at-once': z.int().positive().default(256),
  }),
});

export type ControlSettings = Readonly<z.output<typeof controlSettingsSchema>>;
export type EntrySettings = Readonly<z.output<typeof entrySettingsSchema>>;
export type SidecarSettings = Readonly<z.output<typeof sidecarSettingsSchema>>;
export type ClusterSettings = ControlSettings['cluster'];
export type HostSettings = ControlSettings['host'];
