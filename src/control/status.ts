import type { NodeStatus, Status, TeamStatus } from '../protocol';
import { type Membership, nameOf } from '../replication';
import type { Program, Tables } from '../state';

/** Share of a budget from which a program counts as near its end. */
const NEAR_BUDGET_SHARE = 0.9;

export interface StatusInput {
  readonly leader: string;
  readonly term: number;
  readonly appliedIndex: number;
  readonly membership: Membership;
  readonly silent: readonly string[];
  readonly nodes: readonly NodeStatus[];
  readonly tables: Tables;
}

/** Gathers what `martenbay status` shows. */
export function buildStatus(input: StatusInput): Status {
  const { leader, term, appliedIndex, membership, silent, nodes, tables } = input;
  const number = tables.accepted?.configuration.number ?? 0;
  const digest = tables.accepted?.configuration.digest ?? '';
  const lagging = nodes
    .filter((node) => node.state !== 'lost' && node.configurationNumber < number)
    .map((node) => node.name);
  const teams = tables.accepted?.configuration.teams.map((team) => team.name) ?? [];
  return {
    outcome: 'status',
    leader,
    term,
    appliedIndex,
    voters: membership.voters.map(nameOf).sort(),
    learners: membership.learners.map(nameOf).sort(),
    silent: silent.map(nameOf).sort(),
    configuration: { number, digest },
    nodes,
    lagging,
    teams: teams.map((team) => teamStatus(team, tables)),
    pendingOrders: tables.orders.size,
  };
}

function teamStatus(team: string, tables: Tables): TeamStatus {
  const programs = [...tables.programs.values()].filter((program) => program.team === team);
  const live = programs.filter((program) => program.endReason === undefined);
  return {
    team,
    livePrograms: live.length,
    endedPrograms: programs.length - live.length,
    nearBudget: live.filter((program) => nearBudget(program, tables)).length,
  };
}

function nearBudget(program: Program, tables: Tables): boolean {
  const spending = tables.spendingOf(program);
  const tokens = spending.spentTokens + spending.reservedTokens;
  const calls = spending.spentCalls + spending.reservedCalls;
  return (
    tokens >= spending.tokenLimit * NEAR_BUDGET_SHARE ||
    calls >= spending.callLimit * NEAR_BUDGET_SHARE
  );
}
