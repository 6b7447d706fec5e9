import type { Clock } from '../core';
import type { ControlClient, GroupStatus, GroupSummary, Status, TeamStatus } from '../protocol';
import { type LogView, hostNameOf } from '../replication';
import {
  type ConfigurationStateMachine,
  CONFIGURATION_GROUP,
  type Program,
  type ProgramTables,
} from '../state';
import type { PendingOrders } from './pending-orders';
import type { NodeRegistry } from './node-registry';

/** Share of a budget, spent or reserved, from which a program counts as near its limit. */
const NEAR_BUDGET_SHARE = 0.9;

const SUMMARY_TIMEOUT_MILLISECONDS = 1000;

export interface StatusSources {
  readonly self: string;
  readonly log: LogView;
  readonly machine: ConfigurationStateMachine;
  readonly groupNames: readonly string[];
  readonly client: ControlClient;
  readonly registry: NodeRegistry;
  readonly orders: PendingOrders;
  readonly clock: Clock;
}

/** Collects the output of `martenbay status` from the leaders of all groups. */
export async function collectStatus(sources: StatusSources): Promise<Status> {
  const { self, log, machine, groupNames, client, registry, orders, clock } = sources;
  const summaries = await Promise.all(groupNames.map((group) => querySummary(client, group)));
  const groups = summaries.map((summary, index) =>
    summary === undefined ? unreachableGroup(groupNames[index] ?? '') : summary.group,
  );
  const nodes = registry.nodes(clock.monotonic());
  const lagging = nodes
    .filter((node) => node.state !== 'lost' && node.configurationNumber < machine.number)
    .map((node) => node.name);
  const names = machine.accepted?.configuration.teams.map((team) => team.name) ?? [];
  const digest = machine.accepted?.configuration.digest ?? '';
  return {
    outcome: 'status',
    groups: [describeGroup(CONFIGURATION_GROUP, self, log), ...groups],
    configuration: { number: machine.number, digest },
    nodes,
    nodesComplete: registry.isComplete(clock.monotonic()),
    lagging,
    teams: sumTeams(names, summaries),
    pendingOrders: orders.count,
  };
}

/** Called on the leader of the group only. */
export function describeGroup(group: string, self: string, log: LogView): GroupStatus {
  const { voters, learners } = log.membership;
  return {
    group,
    leader: self,
    term: log.term,
    appliedIndex: log.appliedIndex,
    voters: voters.map(hostNameOf).sort(),
    learners: learners.map(hostNameOf).sort(),
    silent: log.unresponsiveMembers.map(hostNameOf).sort(),
  };
}

/** Program counts of one group by team. */
export function describeTeams(tables: ProgramTables): readonly TeamStatus[] {
  const teams = new Map<string, TeamStatus>();
  for (const program of tables.programs.values()) {
    const known = teams.get(program.team) ?? emptyTeam(program.team);
    const live = program.endReason === undefined;
    teams.set(program.team, {
      team: program.team,
      livePrograms: known.livePrograms + Number(live),
      endedPrograms: known.endedPrograms + Number(!live),
      nearBudget: known.nearBudget + Number(live && isNearBudget(program, tables)),
    });
  }
  return [...teams.values()];
}

async function querySummary(
  client: ControlClient,
  group: string,
): Promise<GroupSummary | undefined> {
  const limits = { group, deadlineMilliseconds: SUMMARY_TIMEOUT_MILLISECONDS };
  try {
    return await client.call<GroupSummary>(
      (connection, signal) => connection.groups.summary.query({ group }, { signal }),
      limits,
    );
  } catch {
    return undefined;
  }
}

/** Status of a group whose leader did not answer. */
function unreachableGroup(group: string): GroupStatus {
  const none = { voters: [], learners: [], silent: [] };
  return { group, leader: undefined, term: 0, appliedIndex: 0, ...none };
}

function sumTeams(
  names: readonly string[],
  summaries: readonly (GroupSummary | undefined)[],
): readonly TeamStatus[] {
  const all = summaries.flatMap((summary) => summary?.teams ?? []);
  return names.map((team) =>
    all.filter((status) => status.team === team).reduce(addTeam, emptyTeam(team)),
  );
}

function addTeam(left: TeamStatus, right: TeamStatus): TeamStatus {
  return {
    team: left.team,
    livePrograms: left.livePrograms + right.livePrograms,
    endedPrograms: left.endedPrograms + right.endedPrograms,
    nearBudget: left.nearBudget + right.nearBudget,
  };
}

function emptyTeam(team: string): TeamStatus {
  return { team, livePrograms: 0, endedPrograms: 0, nearBudget: 0 };
}

function isNearBudget(program: Program, tables: ProgramTables): boolean {
  const spending = tables.spendingOf(program);
  const tokens = spending.spentTokens + spending.reservedTokens;
  const calls = spending.spentCalls + spending.reservedCalls;
  return (
    tokens >= spending.tokenLimit * NEAR_BUDGET_SHARE ||
    calls >= spending.callLimit * NEAR_BUDGET_SHARE
  );
}
