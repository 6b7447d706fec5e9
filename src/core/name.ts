import * as z from 'zod';

/** Schema of the names of hosts, availability zones, teams, services and other entries. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use lower-case letters, digits and hyphens, 63 at most');
