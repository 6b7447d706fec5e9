import * as z from 'zod';

/**
 * Identity of a member, as host/incarnation. A host that lost its data folder gets a new
 * incarnation and counts as another member, since its votes and acknowledged entries are lost.
 */
const memberIdentity = z.string().regex(/^[^/]+\/[^/]+$/);

/** The members of a replicated log, by identity. */
export const membershipSchema = z.object({
  voters: z.array(memberIdentity).readonly(),
  /** Members that receive the log but do not vote or count for the quorum. */
  learners: z.array(memberIdentity).readonly(),
});
export type Membership = Readonly<z.output<typeof membershipSchema>>;

/** Membership of a log that has not been bootstrapped. */
export const NO_MEMBERS: Membership = { voters: [], learners: [] };

export function identityOf(name: string, incarnation: string): string {
  return `${name}/${incarnation}`;
}

export function hostNameOf(identity: string): string {
  return identity.slice(0, identity.indexOf('/'));
}

/** Number of voters that form a majority. */
export function quorumOf(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}

/** Voters and learners. */
export function allMembers(membership: Membership): readonly string[] {
  return [...membership.voters, ...membership.learners];
}

interface MembershipChange {
  readonly index: number;
  readonly membership: Membership;
}

/** The memberships of a log by index; each is in effect from the time its entry is appended. */
export class MembershipHistory {
  #changes: readonly MembershipChange[];

  constructor(baseIndex: number, membership: Membership) {
    this.#changes = [{ index: baseIndex, membership }];
  }

  get current(): Membership {
    return this.#changes.at(-1)?.membership ?? NO_MEMBERS;
  }

  /** Index of the entry that contains the current membership. */
  get changedAt(): number {
    return this.#changes.at(-1)?.index ?? 0;
  }

  /** Membership in effect at an index. */
  at(index: number): Membership {
    return this.#changes.findLast((change) => change.index <= index)?.membership ?? NO_MEMBERS;
  }

  add(index: number, membership: Membership): void {
    this.#changes = [...this.#changes, { index, membership }];
  }

  /** Drops the memberships from `index` on, except the base. */
  truncateFrom(index: number): void {
    const [first, ...rest] = this.#changes;
    if (first === undefined) return;
    this.#changes = [first, ...rest.filter((change) => change.index < index)];
  }

  /** Makes the membership in effect at `index` the base and drops earlier ones. */
  compactTo(index: number): void {
    const base = { index, membership: this.at(index) };
    this.#changes = [base, ...this.#changes.filter((change) => change.index > index)];
  }
}
