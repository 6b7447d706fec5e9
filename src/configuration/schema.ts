import * as z from 'zod';
import { addressSchema, nameSchema as name } from '../core';

const positive = z.int().positive();

const availabilityZoneSchema = z.strictObject({ name, region: name });

const distanceSchema = z.strictObject({
  between: z.tuple([name, name]),
  /** Network latency in one direction. */
  'one-way-milliseconds': z.number().nonnegative(),
});

const teamSchema = z.strictObject({
  name,
  /** SHA-256 digests of callers' keys, in hexadecimal. */
  'key-digests': z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'write the SHA-256 digest of the key: 64 hex digits'))
    .min(1)
    .readonly(),
  /** Program kind of calls that name no program. */
  'default-program': name,
});

const budgetSchema = z.strictObject({
  name,
  /** Maximum tokens of one program and its descendants. */
  tokens: positive,
  /** Maximum engine turns and service calls of one program and its descendants. */
  calls: positive,
});

const programSchema = z.strictObject({
  name,
  /** Teams whose callers may start programs of this kind. */
  teams: z.array(name).min(1).readonly(),
  /** Services that these programs may call. */
  services: z.array(name).min(1).readonly(),
  budget: name,
  /** Maximum engine turns and service calls of one program. */
  'turn-limit': positive.default(200),
  /** Time without activity, running step or live child program after which a program is ended. */
  'idle-seconds': positive.default(900),
  /** Time after the start of a program at which it is ended. */
  'deadline-seconds': positive.default(86_400),
  'latency-weight': z.number().nonnegative().default(1),
  'wasted-cache-weight': z.number().nonnegative().default(1),
});

const callRuleSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path prefix, relative to the service. */
  path: z.string().startsWith('/'),
});

const serviceSchema = z.strictObject({
  name,
  type: z.enum(['engine', 'plain']),
  /** Model name in requests of callers; engines only. */
  model: z.string().min(1).optional(),
  pool: name.optional(),
  /**
   * `managed`: calls are scheduled on the targets of the pool. `pass-through`: calls are forwarded
   * unchanged to `old-address`. `not-ours`: calls are refused.
   */
  adoption: z.enum(['managed', 'pass-through', 'not-ours']).default('managed'),
  /** Address of the existing deployment of a pass-through service. */
  'old-address': addressSchema.optional(),
  /** Non-repeatable calls: they are never sent again after they may have run. */
  'not-repeatable': z.array(callRuleSchema).readonly().default([]),
  /** Output tokens reserved for a turn without a limit of its own; engines only. */
  'output-tokens': positive.default(1024),
  /** Minimum bytes of text per token, for an upper bound on the input tokens to reserve. */
  'bytes-per-token': positive.default(1),
});

const targetSchema = z.strictObject({
  name,
  'availability-zone': name,
  /** Address of the target's sidecar. */
  address: addressSchema,
  /** Name of its host in the platform's host list; the target's name by default. */
  host: name.optional(),
});

const poolSchema = z.strictObject({
  name,
  /** Whether the targets themselves reject orders with an outdated fencing token. */
  'checks-fencing': z.boolean(),
  targets: z.array(targetSchema).min(1).readonly(),
});

/** Schema of one configuration file. Each section may be in any file of the directory. */
export const fileSchema = z.strictObject({
  /** Number of the configuration; set in exactly one file. */
  number: positive.optional(),
  'availability-zone': z.array(availabilityZoneSchema).default([]),
  distance: z.array(distanceSchema).default([]),
  team: z.array(teamSchema).default([]),
  budget: z.array(budgetSchema).default([]),
  program: z.array(programSchema).default([]),
  service: z.array(serviceSchema).default([]),
  pool: z.array(poolSchema).default([]),
});

export type ConfigurationFile = Readonly<z.output<typeof fileSchema>>;

export interface ParsedFile {
  readonly name: string;
  readonly content: ConfigurationFile;
}
export type AvailabilityZone = Readonly<z.output<typeof availabilityZoneSchema>>;
export type Distance = Readonly<z.output<typeof distanceSchema>>;
export type Team = Readonly<z.output<typeof teamSchema>>;
export type Budget = Readonly<z.output<typeof budgetSchema>>;
export type ProgramKind = Readonly<z.output<typeof programSchema>>;
export type Service = Readonly<z.output<typeof serviceSchema>>;
export type Target = Readonly<z.output<typeof targetSchema>>;
export type Pool = Readonly<z.output<typeof poolSchema>>;

/** Schema of a configuration file before parsing. */
export const sourceFileSchema = z.object({ name: z.string().min(1).max(255), text: z.string() });
export type SourceFile = Readonly<z.output<typeof sourceFileSchema>>;

/** The merged and validated files of a directory. */
export interface Configuration {
  readonly number: number;
  /** SHA-256 over the names and texts of all files, in hexadecimal. */
  readonly digest: string;
  readonly availabilityZones: readonly AvailabilityZone[];
  readonly distances: readonly Distance[];
  readonly teams: readonly Team[];
  readonly budgets: readonly Budget[];
  readonly programs: readonly ProgramKind[];
  readonly services: readonly Service[];
  readonly pools: readonly Pool[];
}
