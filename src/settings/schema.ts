import * as z from 'zod';
import { addressSchema, nameSchema as name } from '../core';

const milliseconds = z.int().positive();
const logLevel = z.enum(['debug', 'info', 'warn', 'error']).default('info');

const member = z.strictObject({
  name,
  address: addressSchema,
  /** Region whose programs the host stores; all control hosts store the configuration. */
  region: name.default('main'),
});

/** Settings that must be equal in all processes of a cluster. */
const cluster = z.strictObject({
  control: z.array(member).min(1).readonly(),
  /**
   * Number of replication groups for the programs of each region. It may be increased, as a
   * program stays in the group in which it was started.
   */
  'program-groups': z.int().min(1).max(64).default(4),
  /** Shared secret that authenticates processes to each other. */
  'process-credential': z.string().min(16),
});

const host = z.strictObject({
  name,
  'availability-zone': name,
  /** Address that this process listens on. */
  address: addressSchema,
  'log-level': logLevel,
  /**
   * Time from the stop signal until the process has ended. Requests that still run shortly before
   * are ended with an answer that says so.
   */
  'stop-seconds': z.number().positive().default(30),
});

/** Settings of the `martenbay-control` process. */
export const controlSettingsSchema = z.strictObject({
  host,
  cluster,
  control: z.strictObject({
    /** Folder of the durable state. */
    'data-folder': z.string().min(1),
    /** Secret that authenticates operator commands. */
    'operator-credential': z.string().min(16),
    'heartbeat-milliseconds': milliseconds.default(100),
    /** Minimum election timeout; each timeout is random, up to 1.5 times this value. */
    'election-milliseconds': milliseconds.default(500),
    /** Applied log entries of one group after which a snapshot replaces them. */
    'snapshot-entries': z.int().min(16).default(4096),
    /** Size of each group's in-memory cache of message histories and answers. */
    'history-cache-megabytes': z.int().nonnegative().default(16),
    /** Session timeout: an entry or sidecar counts as live this long after its last heartbeat. */
    'session-milliseconds': milliseconds.default(3000),
    /** How long an ended program and its answers are kept for repeated requests. */
    'retention-seconds': z.int().positive().default(600),
    /**
     * Interval of the checks for expired programs, targets without a session and pending orders.
     */
    'sweep-milliseconds': milliseconds.default(1000),
  }),
  /** Host list of the platform. Without it, only its sidecar reports that a target is draining. */
  platform: z
    .strictObject({
      /** Address that serves the list of live and draining hosts. */
      'host-list': addressSchema,
      'host-list-milliseconds': milliseconds.default(1000),
    })
    .optional(),
});

/** Settings of the `martenbay-entry` process. */
export const entrySettingsSchema = z.strictObject({
  host,
  cluster,
  entry: z
    .strictObject({
      'heartbeat-milliseconds': milliseconds.default(1000),
      /** Deadline of a call without a deadline of its own. */
      'default-deadline-milliseconds': milliseconds.default(120_000),
      /** Maximum size of a request body. */
      'body-limit-bytes': z.int().positive().default(8_388_608),
      /** Maximum total size of the request headers. */
      'header-limit-bytes': z.int().positive().default(16_384),
      /**
       * Time after the stop signal during which new requests are accepted, until the balancer no
       * longer sends any; at most half of `stop-seconds`.
       */
      'stop-accept-seconds': z.number().nonnegative().default(2.5),
      /** Memory of the answers that arrive from targets; those without room wait. */
      'answer-memory-megabytes': z.int().positive().default(64),
      policy: z.enum(['round-robin', 'least-load', 'affinity']).default('affinity'),
    })
    .prefault({}),
});

/** Settings of the `martenbay-sidecar` process. */
export const sidecarSettingsSchema = z.strictObject({
  host,
  cluster,
  sidecar: z.strictObject({
    /** Name of the target in the configuration. */
    target: name,
    /** Address that the target itself listens on. */
    'target-address': addressSchema,
    'heartbeat-milliseconds': milliseconds.default(1000),
    /** Interval at which the target's load is read. */
    'load-milliseconds': milliseconds.default(1000),
    /** Maximum calls in flight at the target; further calls are refused with outcome `not-run`. */
    'calls-at-once': z.int().positive().default(256),
  }),
});

export type ControlSettings = Readonly<z.output<typeof controlSettingsSchema>>;
export type EntrySettings = Readonly<z.output<typeof entrySettingsSchema>>;
export type SidecarSettings = Readonly<z.output<typeof sidecarSettingsSchema>>;
export type ClusterSettings = ControlSettings['cluster'];
export type HostSettings = ControlSettings['host'];
