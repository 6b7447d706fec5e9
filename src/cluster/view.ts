/** One store that keeps copies of the turns. */
export interface ViewMember {
  readonly name: string;
  /** IP:port of its connections with other processes. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Life of its data folder; a store that lost its disk comes back under another one. */
  readonly dataLife: string;
  /** Epoch at which it was taken in, from which it has had to be filled by the others. */
  readonly joined: number;
}

/** The stores that keep the turns; a change of them is a new epoch. */
export interface StoreView {
  readonly epoch: number;
  readonly members: readonly ViewMember[];
  /** Copies that a record needs before it counts, and members that must speak for an absence. */
  readonly quorum: number;
}

/** Epoch of the first view, whose members need no filling. */
export const FIRST_EPOCH = 1;

/** Members that a view has where so many stores exist: one more than a quorum can lose. */
export function viewSizeFor(toleratedLosses: number): number {
  return 2 * toleratedLosses + 1;
}

/** Progress of a store that is to be emptied and taken away. */
export type RetirementState = 'running' | 'completed';
