import type { RandomSource } from '../core';
import type { RaftLogOptions } from './raft-log';
import type { HardState } from './messages';

export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

export interface RaftOptions extends RaftLogOptions {
  /** Identity of this member. */
  readonly self: string;
  readonly random: RandomSource;
  readonly heartbeatMilliseconds?: number;
  readonly electionMilliseconds?: number;
  readonly hardState?: HardState;
}
