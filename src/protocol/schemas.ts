import * as z from 'zod';
import type { ConfigurationChanges } from '../state/configuration-machine';
import type { Order } from '../state/records';

const name = z.string().min(1).max(100);

/** What a sidecar tells of its target. */
export const loadSchema = z.object({
  /** Calls that the target works on. */
  running: z.int().nonnegative(),
  /** Calls that wait inside the target. */
  waiting: z.int().nonnegative(),
});
export type Load = Readonly<z.output<typeof loadSchema>>;

export const nodeStateSchema = z.enum(['serving', 'leaving']);
export type NodeState = z.output<typeof nodeStateSchema>;

export const heartbeatSchema = z.object({
  kind: z.enum(['entry', 'sidecar']),
  name,
  /** New at every start of the process. */
  incarnation: name,
  state: nodeStateSchema,
  configurationNumber: z.int().nonnegative(),
  /** The sidecar's target and its load. */
  target: name.optional(),
  load: loadSchema.optional(),
});
export type Heartbeat = Readonly<z.output<typeof heartbeatSchema>>;

export const watchSchema = z.object({
  /** Number of the configuration that the asker has in force. */
  configurationNumber: z.int().nonnegative(),
  /** The newest directory that the asker has seen; absent for a sidecar. */
  directory: z.object({ epoch: z.int(), version: z.int() }).optional(),
  /** Target whose orders the asker carries out. */
  target: name.optional(),
  waitMilliseconds: z.int().nonnegative().max(30_000),
});
export type Watch = Readonly<z.output<typeof watchSchema>>;

/** This member does not lead; the caller asks `leader`, or another member when it is unknown. */
export interface NotLeader {
  readonly outcome: 'not-leader';
  readonly leader?: string | undefined;
}

/** Where a target stands, as the leader knows it. */
export interface TargetRecord {
  readonly target: string;
  /** `lost`: no heartbeat for a session time. */
  readonly state: NodeState | 'lost';
  readonly incarnation: string;
  readonly load: Load;
}

/** Records that changed since a version; an epoch is the term of the leader that numbers them. */
export interface DirectoryChanges {
  readonly epoch: number;
  readonly version: number;
  readonly targets: readonly TargetRecord[];
}

export interface WatchChanges {
  readonly outcome: 'changes';
  /** The leader's term, which fences its orders. */
  readonly term: number;
  readonly configuration?: ConfigurationChanges | undefined;
  readonly directory?: DirectoryChanges | undefined;
  readonly orders: readonly Order[];
}

export interface Noted {
  readonly outcome: 'noted';
}

/** One process, as status shows it. */
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
  /** Programs that have spent or set aside nine tenths of their tokens or calls. */
  readonly nearBudget: number;
}

/** One replicated group, as its leader sees it. */
export interface GroupStatus {
  readonly group: string;
  /** Absent when nobody answers for the group. */
  readonly leader?: string | undefined;
  readonly term: number;
  readonly appliedIndex: number;
  /** Control hosts that vote, and those that are being filled, by name. */
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Those of them that have not answered the leader for a while. */
  readonly silent: readonly string[];
}

/** What the leader of a group of programs tells about them. */
export interface GroupSummary {
  readonly outcome: 'summary';
  readonly group: GroupStatus;
  readonly teams: readonly TeamStatus[];
}

/** What is in force, at a glance. */
export interface Status {
  readonly outcome: 'status';
  /** The configuration's group first. */
  readonly groups: readonly GroupStatus[];
  readonly configuration: { readonly number: number; readonly digest: string };
  readonly nodes: readonly NodeStatus[];
  /** Whether every live process has had the time to be heard since the leader took over. */
  readonly nodesComplete: boolean;
  readonly lagging: readonly string[];
  readonly teams: readonly TeamStatus[];
  readonly pendingOrders: number;
}
