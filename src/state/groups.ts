/** The group that holds the operators' configuration. */
export const CONFIGURATION_GROUP = 'configuration';

/** Shape of a program's id: a unique part, a dot, and the group that holds the program. */
const PROGRAM_ID = /^p-[0-9a-f]{24}\.([a-z0-9-]+)$/;

/**
 * Builds the id of a program from 24 hexadecimal digits. The id names its group, so that any entry
 * finds it, also after the number of groups was changed.
 */
export function programIdOf(unique: string, group: string): string {
  return `p-${unique}.${group}`;
}

/** The group that holds a program; nothing for an id that was never given out. */
export function groupOfProgram(id: string): string | undefined {
  return PROGRAM_ID.exec(id)?.[1];
}
