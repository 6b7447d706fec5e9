import * as z from 'zod';
import { addressSchema, nameSchema as name } from '../core';

const positive = z.int().positive();

const availabilityZoneSchema = z.strictObject({ name, region: name });

const distanceSchema = z.strictObject({
  between: z.tuple([name, name]),
  /** One-way network time. */
  'one-way-milliseconds': z.number().nonnegative(),
});

const teamSchema = z.strictObject({
  name,
  /** SHA-256 digests of callers' keys, in hexadecimal. */
  'key-digests': z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'write the SHA-256 digest of the key: 64 hex digits'))
    .min(1)
    .readonly(),
  /** Kind of program for calls that name no program. */
  'default-program': name,
});

const budgetSchema = z.strictObject({
  name,
  /** Tokens that one program, sub-agents included, may spend. */
  tokens: positive,
  /** Engine turns and service calls that one program, sub-agents included, may make. */
  calls: positive,
});

const programSchema = z.strictObject({
  name,
  /** Teams whose callers may start it. */
  teams: z.array(name).min(1).readonly(),
  /** Services it may call. */
  services: z.array(name).min(1).readonly(),
  budget: name,
  'turn-limit': positive.default(200),
  /** Silence after which the program counts as abandoned. */
  'idle-seconds': positive.default(900),
  /** Life of the whole program. */
  'deadline-seconds': positive.default(86_400),
  'latency-weight': z.number().nonnegative().default(1),
  'wasted-cache-weight': z.number().nonnegative().default(1),
});

const callRuleSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Prefix of the path below the service. */
  path: z.string().startsWith('/'),
});

const serviceSchema = z.strictObject({
  name,
  type: z.enum(['engine', 'plain']),
  /** Model name that callers give; engines only. */
  model: z.string().min(1).optional(),
  pool: name.optional(),
  /** `managed`: martenbay serves it. `pass-through`: sent on untouched. `not-ours`: refused. */
  adoption: z.enum(['managed', 'pass-through', 'not-ours']).default('managed'),
  /** Where a service that has not moved yet is served. */
  'old-address': addressSchema.optional(),
  /** Calls that run at most once. */
  'not-repeatable': z.array(callRuleSchema).readonly().default([]),
  /** Output tokens reserved for a turn that names no limit; engines only. */
  'output-tokens': positive.default(1024),
  /** Fewest bytes of text to one token; the bound that reservations rest on. */
  'bytes-per-token': positive.default(1),
});

const targetSchema = z.strictObject({
  name,
  'availability-zone': name,
  /** Address of the sidecar beside the target. */
  address: addressSchema,
  /** Its host in the platform's list; the target's own name unless given. */
  host: name.optional(),
});

const poolSchema = z.strictObject({
  name,
  /** Whether the targets themselves refuse an order with an old fencing number. */
  'checks-fencing': z.boolean(),
  targets: z.array(targetSchema).min(1).readonly(),
});

/** One operators' file. Every section may stand in any file of the directory. */
export const fileSchema = z.strictObject({
  /** Number of the whole directory; it stands in exactly one file. */
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

/** One parsed file with its name, for messages. */
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

/** The text of one file, as operators wrote it. */
export const sourceFileSchema = z.object({ name: z.string().min(1).max(255), text: z.string() });
export type SourceFile = Readonly<z.output<typeof sourceFileSchema>>;

/** A whole directory, merged and checked. */
export interface Configuration {
  readonly number: number;
  /** SHA-256 over the names and texts of all files. */
  readonly digest: string;
  readonly availabilityZones: readonly AvailabilityZone[];
  readonly distances: readonly Distance[];
  readonly teams: readonly Team[];
  readonly budgets: readonly Budget[];
  readonly programs: readonly ProgramKind[];
  readonly services: readonly Service[];
  readonly pools: readonly Pool[];
}
