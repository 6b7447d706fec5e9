/** Name of the group that replicates the operators' configuration. */
export const CONFIGURATION_GROUP = 'configuration';

/** Format of a program id: a unique part, a dot, and the name of the program's group. */
const PROGRAM_ID = /^p-[0-9a-f]{24}\.([a-z0-9-]+)$/;

/**
 * Creates the id of a program; `unique` has 24 hexadecimal digits. The id contains the group, so
 * that any entry can route to it, even after the number of groups has changed.
 */
export function programIdOf(unique: string, group: string): string {
  return `p-${unique}.${group}`;
}

/** The group of a program; undefined for an id that is not in the format of {@link programIdOf}. */
export function groupOfProgram(id: string): string | undefined {
  return PROGRAM_ID.exec(id)?.[1];
}
