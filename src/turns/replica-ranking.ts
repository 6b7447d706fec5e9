import type { StoreView, ViewMember } from '../cluster';
import { digestText } from '../core';

/**
 * Orders a view's members by rendezvous hashing of the program; the first `quorum` members are the
 * preferred replicas of its turns. Every process computes the same order, and a change of the view
 * moves few programs. Writing to these only costs two fifths less than writing to all members, and a
 * gateway that continues a turn asks a store that has it.
 */
export function rankReplicas(view: StoreView, program: string): readonly ViewMember[] {
  return view.members
    .map((member) => ({ member, rank: digestText(`${member.name}\n${program}`) }))
    .sort((left, right) => (left.rank < right.rank ? -1 : 1))
    .map(({ member }) => member);
}
