import * as z from 'zod';

const memberEntrySchema = z.object({
  name: z.string(),
  /** IP:port on which it accepts connections of other processes. */
  address: z.string(),
  availabilityZone: z.string(),
  /** Identifies the content of its data folder; a store that lost its disk gets a new value. */
  dataLife: z.string(),
  /** Epoch at which it joined; after the first epoch, the other members backfill it. */
  joined: z.int(),
});

const viewMemberSchema = memberEntrySchema.extend({
  /**
   * Former members that this one replaced, latest first, up to one that was complete. Until this one
   * is complete, a former one may have the only copy of a record that no lost disk had.
   */
  predecessors: z.array(memberEntrySchema.readonly()).readonly().optional(),
});

/** Schema of a {@link StoreView} in stored records. */
export const storeViewSchema = z.object({
  epoch: z.int(),
  members: z.array(viewMemberSchema.readonly()).readonly(),
  /** Copies required to commit a record, and members that must answer to establish its absence. */
  quorum: z.int(),
});

/** A store as a member from one epoch on. */
export type MemberEntry = Readonly<z.output<typeof memberEntrySchema>>;

/** A store that holds copies of turns. */
export type ViewMember = Readonly<z.output<typeof viewMemberSchema>>;

/** The stores that hold the turns; each change of membership or address starts a new epoch. */
export type StoreView = Readonly<z.output<typeof storeViewSchema>>;

/** Epoch of the initial view, whose members need no backfill. */
export const FIRST_EPOCH = 1;

/** Number of members with which a quorum remains after `toleratedLosses` of them are lost. */
export function viewSizeFor(toleratedLosses: number): number {
  return 2 * toleratedLosses + 1;
}

/** Progress of retiring a store: its turns are copied to other stores before it is removed. */
export type RetirementState = 'running' | 'completed';
