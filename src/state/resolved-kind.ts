import type { Configuration } from '../configuration';
import type { CreateProgram, ResolvedKind } from './commands';
import { type Refused, refuse } from './outcomes';

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Resolves the program kind from the active configuration. The result is part of the command, so
 * that applying it does not depend on the configuration of the member.
 */
export function resolveKind(
  configuration: Configuration | undefined,
  input: CreateProgram,
): ResolvedKind | Refused {
  if (configuration === undefined) {
    return refuse('no-configuration', 'no configuration was applied yet');
  }
  const team = configuration.teams.find((entry) => entry.name === input.team);
  const name = input.kind ?? team?.['default-program'];
  const kind = configuration.programs.find((entry) => entry.name === name);
  const budget = configuration.budgets.find((entry) => entry.name === kind?.budget);
  if (kind === undefined || budget === undefined || !kind.teams.includes(input.team)) {
    return refuse('unknown-kind', `team "${input.team}" has no program kind "${name ?? ''}"`);
  }
  return {
    outcome: 'kind',
    name: kind.name,
    services: kind.services,
    turnLimit: kind['turn-limit'],
    idleMilliseconds: kind['idle-seconds'] * MILLISECONDS_PER_SECOND,
    lifeMilliseconds: kind['deadline-seconds'] * MILLISECONDS_PER_SECOND,
    tokenLimit: budget.tokens,
    callLimit: budget.calls,
  };
}
