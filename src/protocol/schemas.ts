import * as z from 'zod';
import type { ConfigurationChanges } from '../state/configuration-state-machine';
import type { Order } from '../state/records';

const nameSchema = z.string().min(1).max(100);

/** Load of a target, as reported by its sidecar. */
export const loadSchema = z.object({
  /** Calls that the target is processing. */
  running: z.int().nonnegative(),
  /** Calls queued inside the target. */
  waiting: z.int().nonnegative(),
});
export type Load = Readonly<z.output<typeof loadSchema>>;

export const nodeStateSchema = z.enum(['serving', 'leaving']);
export type NodeState = z.output<typeof nodeStateSchema>;

export const heartbeatSchema = z.object({
  kind: z.enum(['entry', 'sidecar']),
  name: nameSchema,
  /** Changes with every start of the process. */
  incarnation: nameSchema,
  state: nodeStateSchema,
  configurationNumber: z.int().nonnegative(),
  /** The sidecar's target and its load. */
  target: nameSchema.optional(),
  load: loadSchema.optional(),
});
export type Heartbeat = Readonly<z.output<typeof heartbeatSchema>>;

export const watchSchema = z.object({
  /** Number of the configuration that the caller has. */
  configurationNumber: z.int().nonnegative(),
  /** Latest directory version that the caller has; absent for a sidecar. */
  directory: z.object({ epoch: z.int(), version: z.int() }).optional(),
  /** Target whose orders the caller runs; absent for an entry. */
  target: nameSchema.optional(),
  waitMilliseconds: z.int().nonnegative().max(30_000),
});
export type Watch = Readonly<z.output<typeof watchSchema>>;

/** This member is not the leader; call `leader` next, or any other member when it is unknown. */
export interface NotLeader {
  readonly outcome: 'not-leader';
  readonly leader?: string | undefined;
}

/** State of a target, according to the leader of the configuration group. */
export interface TargetRecord {
  readonly target: string;
  /** `lost`: the session expired without a heartbeat. */
  readonly state: NodeState | 'lost';
  readonly incarnation: string;
  readonly load: Load;
  /**
   * When the leader received the load: wall time in milliseconds; absent in records of a leader of
   * an earlier version.
   */
  readonly loadReceivedAt?: number | undefined;
}

/** Records changed since a version. `epoch`: term of the leader that assigned the version. */
export interface DirectoryChanges {
  readonly epoch: number;
  readonly version: number;
  readonly targets: readonly TargetRecord[];
}

export interface WatchChanges {
  readonly outcome: 'changes';
  /** Term of the leader; serves as fencing token of the orders. */
  readonly term: number;
  readonly configuration?: ConfigurationChanges | undefined;
  readonly directory?: DirectoryChanges | undefined;
  readonly orders: readonly Order[];
}

export interface Acknowledgement {
  readonly outcome: 'noted';
}

/** One process in the operator's status. */
export interface NodeStatus {
  readonly kind: 'entry' | 'sidecar';
  readonly name: string;
  readonly state: NodeState | 'lost';
  readonly configurationNumber: number;
  readonly target?: string | undefined;
  readonly load?: Load | undefined;
}

export interface TeamStatus {
  readonly team: string;
  readonly livePrograms: number;
  readonly endedPrograms: number;
  /** Programs that have spent or reserved at least 90% of their tokens or calls. */
  readonly nearBudget: number;
}

/** State of a replicated group, as reported by its leader. */
export interface GroupStatus {
  readonly group: string;
  /** Absent when no leader answers for the group. */
  readonly leader?: string | undefined;
  readonly term: number;
  readonly appliedIndex: number;
  /** Names of the voting control hosts. */
  readonly voters: readonly string[];
  /** Names of the non-voting control hosts that are catching up. */
  readonly learners: readonly string[];
  /** Names of voters and learners that are not answering the leader. */
  readonly silent: readonly string[];
}

/** Status of one program group, from its leader. */
export interface GroupSummary {
  readonly outcome: 'summary';
  readonly group: GroupStatus;
  readonly teams: readonly TeamStatus[];
}

/** Status of the whole deployment, for operators. */
export interface Status {
  readonly outcome: 'status';
  /** Starts with the configuration group. */
  readonly groups: readonly GroupStatus[];
  readonly configuration: { readonly number: number; readonly digest: string };
  readonly nodes: readonly NodeStatus[];
  /** Whether the leader has led for a session timeout, so that every live process is listed. */
  readonly nodesComplete: boolean;
  readonly lagging: readonly string[];
  readonly teams: readonly TeamStatus[];
  readonly pendingOrders: number;
}
