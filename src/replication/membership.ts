import * as z from 'zod';

/**
 * One life of a member's data folder, as name/incarnation. A host whose folder was lost comes back
 * under a new one: it knows nothing of what it voted for and acknowledged before, so it is another
 * member.
 */
const memberIdentity = z.string().regex(/^[^/]+\/[^/]+$/);

/** Who takes part in a replicated log, by identity. */
export const membershipSchema = z.object({
  voters: z.array(memberIdentity).readonly(),
  /** Receive the log and count for nothing until they have caught up. */
  learners: z.array(memberIdentity).readonly(),
});
export type Membership = Readonly<z.output<typeof membershipSchema>>;

/** Membership of a log that nobody has founded yet. */
export const NO_MEMBERS: Membership = { voters: [], learners: [] };

/** Builds an identity. */
export function identityOf(name: string, incarnation: string): string {
  return `${name}/${incarnation}`;
}

/** The host's name in an identity. */
export function nameOf(identity: string): string {
  return identity.slice(0, identity.indexOf('/'));
}

/** Members needed for a majority of the voters. */
export function quorumOf(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}

/** Everyone who receives the log. */
export function allMembers(membership: Membership): readonly string[] {
  return [...membership.voters, ...membership.learners];
}

interface Change {
  readonly index: number;
  readonly membership: Membership;
}

/** The memberships of a log by index; each is in force from the moment its entry is appended. */
export class MembershipHistory {
  #changes: readonly Change[];

  constructor(baseIndex: number, membership: Membership) {
    this.#changes = [{ index: baseIndex, membership }];
  }

  get current(): Membership {
    return this.#changes.at(-1)?.membership ?? NO_MEMBERS;
  }

  /** Index of the entry that brought the present membership. */
  get changedAt(): number {
    return this.#changes.at(-1)?.index ?? 0;
  }

  /** Membership in force at an index. */
  at(index: number): Membership {
    return this.#changes.findLast((change) => change.index <= index)?.membership ?? NO_MEMBERS;
  }

  add(index: number, membership: Membership): void {
    this.#changes = [...this.#changes, { index, membership }];
  }

  /** Goes back to what was in force before `index`. */
  truncateFrom(index: number): void {
    const [first, ...rest] = this.#changes;
    if (first === undefined) return;
    this.#changes = [first, ...rest.filter((change) => change.index < index)];
  }

  /** Forgets what was in force before `index`. */
  compactTo(index: number): void {
    const base = { index, membership: this.at(index) };
    this.#changes = [base, ...this.#changes.filter((change) => change.index > index)];
  }
}
