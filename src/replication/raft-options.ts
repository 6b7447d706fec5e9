import type { RandomSource } from '../core';
import type { MemberLogOptions } from './member-log';
import type { HardState } from './messages';

/** What a member does at present. */
export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** How a member is set up; times in milliseconds. */
export interface RaftOptions extends MemberLogOptions {
  /** Identity of this member. */
  readonly self: string;
  readonly random: RandomSource;
  readonly heartbeatMilliseconds?: number;
  readonly electionMilliseconds?: number;
  readonly hardState?: HardState;
}
