import type { Configuration } from '../configuration';
import type { CreateProgram, KindInForce } from './commands';
import { type Refused, refuse } from './outcomes';

const MILLISECONDS = 1000;

/**
 * What a program that is started now may do, from the configuration in force. It is written into
 * the command, so that every member applies the same whatever configuration it has.
 */
export function resolveKind(
  configuration: Configuration | undefined,
  input: CreateProgram,
): KindInForce | Refused {
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
    idleMilliseconds: kind['idle-seconds'] * MILLISECONDS,
    lifeMilliseconds: kind['deadline-seconds'] * MILLISECONDS,
    tokenLimit: budget.tokens,
    callLimit: budget.calls,
  };
}
