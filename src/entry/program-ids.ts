import type { Configuration } from '../configuration';
import { type RandomSource, digestValue } from '../core';
import type { ProgramGroup } from '../settings';
import { groupOfProgram, programIdOf } from '../state';
import { notRun } from './refusal';

export interface ProgramIdsOptions {
  /** The groups of all regions. */
  readonly groups: readonly ProgramGroup[];
  /** This entry's own availability zone. */
  readonly availabilityZone: string;
  readonly random: RandomSource;
}

/** Bytes of the unique part of an id, and the length of that part as text. */
const UNIQUE_BYTES = 12;
const UNIQUE_LENGTH = UNIQUE_BYTES * 2;

/** Gives out the ids of programs, each with the group that is to hold the program. */
export class ProgramIds {
  readonly #options: ProgramIdsOptions;

  constructor(options: ProgramIdsOptions) {
    this.#options = options;
  }

  /** A new id, in some group of this entry's own region. */
  create(configuration: Configuration): string {
    const { groups, availabilityZone, random } = this.#options;
    const region = configuration.availabilityZones.find(
      (zone) => zone.name === availabilityZone,
    )?.region;
    const near = groups.filter((group) => group.region === region);
    const candidates = near.length > 0 ? near : groups;
    const group = candidates[Math.floor(random.fraction() * candidates.length)];
    return programIdOf(random.hex(UNIQUE_BYTES), group?.name ?? '');
  }

  /** A new id for a sub-agent, whose parent's group holds the budget of both. */
  createChild(parent: string): string {
    return programIdOf(this.#options.random.hex(UNIQUE_BYTES), groupOf(parent));
  }

  /**
   * The id that stands for a caller's key: the same one at every entry of every region, so that a
   * resend finds the program wherever it arrives.
   */
  fromKey(parts: readonly string[]): string {
    const { groups } = this.#options;
    const digest = digestValue(parts);
    const group = groups[Number.parseInt(digest.slice(-8), 16) % groups.length];
    return programIdOf(digest.slice(0, UNIQUE_LENGTH), group?.name ?? '');
  }

  /** The same for a sub-agent, in its parent's group. */
  childFromKey(parent: string, parts: readonly string[]): string {
    return programIdOf(digestValue(parts).slice(0, UNIQUE_LENGTH), groupOf(parent));
  }
}

/**
 * The group that holds a program.
 *
 * @throws a refusal for an id that was never given out
 */
export function groupOf(program: string): string {
  const group = groupOfProgram(program);
  if (group !== undefined) return group;
  throw notRun(404, 'unknown-program', `no program "${program}"`);
}
