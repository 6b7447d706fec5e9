import { type Configuration, parseConfiguration } from '../configuration';
import type { GroupStatus, Status } from '../protocol';
import type { CommandOptions } from './apply';
import { OPERATOR_EXIT_CODES, type OperatorExitCode } from './exit-codes';
import { type Rows, writeOutput } from './output';
import { withControlClient } from './control-client';

/** Sections that `martenbay get` shows. */
export const SECTIONS = ['teams', 'programs', 'services', 'pools', 'budgets', 'files'] as const;
export type Section = (typeof SECTIONS)[number];

/** `martenbay get SECTION`: shows a section of the active configuration. */
export async function get(section: Section, options: CommandOptions): Promise<OperatorExitCode> {
  const current = await withControlClient(options.settings, (client) =>
    client.call((connection, signal) => connection.configuration.get.query(undefined, { signal })),
  );
  if (current.configuration === undefined) {
    writeOutput(options.output, { number: 0 }, [[['no configuration applied yet']]]);
    return OPERATOR_EXIT_CODES.done;
  }
  const { number, digest, files } = current.configuration;
  const configuration = parseConfiguration(files);
  const content = section === 'files' ? files : configuration[section];
  const head = [[`number ${number}, digest ${digest}`]];
  writeOutput(options.output, { number, digest, [section]: content }, [
    head,
    sectionRows(section, configuration, files),
  ]);
  return OPERATOR_EXIT_CODES.done;
}

function sectionRows(
  section: Section,
  configuration: Configuration,
  files: readonly { readonly name: string }[],
): Rows {
  switch (section) {
    case 'teams':
      return [
        ['TEAM', 'KEYS', 'DEFAULT PROGRAM'],
        ...configuration.teams.map((team) => [
          team.name,
          String(team['key-digests'].length),
          team['default-program'],
        ]),
      ];
    case 'programs':
      return [
        ['PROGRAM', 'TEAMS', 'BUDGET', 'TURNS', 'IDLE SECONDS'],
        ...configuration.programs.map((kind) => [
          kind.name,
          kind.teams.join(','),
          kind.budget,
          String(kind['turn-limit']),
          String(kind['idle-seconds']),
        ]),
      ];
    case 'services':
      return [
        ['SERVICE', 'TYPE', 'ADOPTION', 'POOL', 'MODEL'],
        ...configuration.services.map((service) => [
          service.name,
          service.type,
          service.adoption,
          service.pool ?? '-',
          service.model ?? '-',
        ]),
      ];
    case 'pools':
      return [
        ['POOL', 'TARGETS', 'CHECKS FENCING'],
        ...configuration.pools.map((pool) => [
          pool.name,
          String(pool.targets.length),
          String(pool['checks-fencing']),
        ]),
      ];
    case 'budgets':
      return [
        ['BUDGET', 'TOKENS', 'CALLS'],
        ...configuration.budgets.map((budget) => [
          budget.name,
          String(budget.tokens),
          String(budget.calls),
        ]),
      ];
    case 'files':
      return [['FILE'], ...files.map((file) => [file.name])];
  }
}

/** `martenbay status` */
export async function status(options: CommandOptions): Promise<OperatorExitCode> {
  const current = await withControlClient(options.settings, (client) =>
    client.call((connection, signal) => connection.status.query(undefined, { signal })),
  );
  writeOutput(options.output, current, statusTables(current));
  return OPERATOR_EXIT_CODES.done;
}

function statusTables(current: Status): readonly Rows[] {
  const { configuration, lagging, pendingOrders } = current;
  const summary: Rows = [
    ['configuration', `${configuration.number} ${configuration.digest.slice(0, 12)}`],
    ['lagging', lagging.length === 0 ? 'none' : lagging.join(', ')],
    ['orders waiting', String(pendingOrders)],
  ];
  const groups = current.groups.map((group) => [
    group.group,
    group.leader ?? 'none responds',
    String(group.term),
    String(group.appliedIndex),
    describeMembers(group),
  ]);
  const nodes = current.nodes.map((node) => [
    node.name,
    node.kind,
    node.state,
    String(node.configurationNumber),
    node.target ?? '-',
    node.load === undefined ? '-' : `${node.load.running}+${node.load.waiting}`,
  ]);
  const teams = current.teams.map((team) => [
    team.team,
    String(team.livePrograms),
    String(team.endedPrograms),
    String(team.nearBudget),
  ]);
  return [
    summary,
    [['GROUP', 'LEADER', 'TERM', 'INDEX', 'CONTROL HOSTS'], ...groups],
    [['PROCESS', 'KIND', 'STATE', 'CONFIGURATION', 'TARGET', 'RUNNING+WAITING'], ...nodes],
    [['TEAM', 'LIVE', 'ENDED', 'NEAR BUDGET'], ...teams],
  ];
}

function describeMembers({ voters, learners, silent }: GroupStatus): string {
  const members = [...voters, ...learners].map((name) => {
    if (silent.includes(name)) return `${name} (unresponsive)`;
    return learners.includes(name) ? `${name} (backfilling)` : name;
  });
  return members.join(', ');
}
