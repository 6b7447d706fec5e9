import * as z from 'zod';

const viewMemberSchema = z.object({
  name: z.string(),
  /** IP:port of its connections with other processes. */
  address: z.string(),
  availabilityZone: z.string(),
  /** Life of its data folder; a store that lost its disk comes back under another one. */
  dataLife: z.string(),
  /** Epoch at which it was taken in, from which it has had to be filled by the others. */
  joined: z.int(),
});

/** Schema of a {@link StoreView} where it is kept on a disk. */
export const storeViewSchema = z.object({
  epoch: z.int(),
  members: z.array(viewMemberSchema.readonly()).readonly(),
  /** Copies that a record needs before it counts, and members that must speak for an absence. */
  quorum: z.int(),
});

/** One store that keeps copies of the turns. */
export type ViewMember = Readonly<z.output<typeof viewMemberSchema>>;

/** The stores that keep the turns; a change of them is a new epoch. */
export type StoreView = Readonly<z.output<typeof storeViewSchema>>;

/** Epoch of the first view, whose members need no filling. */
export const FIRST_EPOCH = 1;

/** Members that a view has where so many stores exist: one more than a quorum can lose. */
export function viewSizeFor(toleratedLosses: number): number {
  return 2 * toleratedLosses + 1;
}

/** Progress of a store that is to be emptied and taken away. */
export type RetirementState = 'running' | 'completed';
