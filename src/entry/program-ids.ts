import type { Configuration } from '../configuration';
import { type RandomSource, digestValue } from '../core';
import type { ProgramGroup } from '../settings';
import { groupOfProgram, programIdOf } from '../state';
import { notRunRefusal } from './refusal';

export interface ProgramIdGeneratorOptions {
  /** Program groups of all regions. */
  readonly groups: readonly ProgramGroup[];
  /** Availability zone of this entry. */
  readonly availabilityZone: string;
  readonly random: RandomSource;
}

const UNIQUE_BYTES = 12;
/** Length of the unique part in hexadecimal digits. */
const UNIQUE_LENGTH = UNIQUE_BYTES * 2;

/** Generates program ids; each names the group that stores the program. */
export class ProgramIdGenerator {
  readonly #options: ProgramIdGeneratorOptions;

  constructor(options: ProgramIdGeneratorOptions) {
    this.#options = options;
  }

  /** Generates an id in a random group of this entry's region, or of any region if it has none. */
  create(configuration: Configuration): string {
    const { groups, availabilityZone, random } = this.#options;
    const region = configuration.availabilityZones.find(
      (zone) => zone.name === availabilityZone,
    )?.region;
    const local = groups.filter((group) => group.region === region);
    const candidates = local.length > 0 ? local : groups;
    const group = candidates[Math.floor(random.fraction() * candidates.length)];
    return programIdOf(random.hex(UNIQUE_BYTES), group?.name ?? '');
  }

  /** Generates an id for a child program in the group that stores its parent and their budget. */
  createChild(parent: string): string {
    return programIdOf(this.#options.random.hex(UNIQUE_BYTES), requireGroup(parent));
  }

  /**
   * Derives an id from an idempotency key. Every entry of every region derives the same id, so a
   * repeated request finds the program at any entry.
   */
  deriveFromKey(keyParts: readonly string[]): string {
    const { groups } = this.#options;
    const digest = digestValue(keyParts);
    const group = groups[Number.parseInt(digest.slice(-8), 16) % groups.length];
    return programIdOf(digest.slice(0, UNIQUE_LENGTH), group?.name ?? '');
  }

  /** Derives an id for a child program from an idempotency key, in its parent's group. */
  deriveChildFromKey(parent: string, keyParts: readonly string[]): string {
    return programIdOf(digestValue(keyParts).slice(0, UNIQUE_LENGTH), requireGroup(parent));
  }
}

/**
 * The group that stores a program.
 *
 * @throws a refusal `unknown-program` when the id is malformed
 */
export function requireGroup(program: string): string {
  const group = groupOfProgram(program);
  if (group !== undefined) return group;
  throw notRunRefusal(404, 'unknown-program', `no program "${program}"`);
}
