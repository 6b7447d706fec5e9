import type { StoreView, ViewMember } from '../cluster';
import { digestText } from '../core';

/**
 * The members of a view, those first that are to hold a program's turns: a quorum of them, by rendezvous
 * hashing, so that every process finds the same ones and a changed view moves few. Purpose: a turn that is
 * written to a quorum in place of all members costs two fifths less at the stores and on the way, and
 * whoever continues it asks a store that has it.
 */
export function holdersFirst(view: StoreView, program: string): readonly ViewMember[] {
  return view.members
    .map((member) => ({ member, rank: digestText(`${member.name}\n${program}`) }))
    .sort((left, right) => (left.rank < right.rank ? -1 : 1))
    .map(({ member }) => member);
}
