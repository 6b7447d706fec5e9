import type { Issue } from '../core';
import { findSharedKeys } from '../teams';
import type { RouteConfiguration } from './configuration';
import { canonicalHostName } from './host-name';

/** Semantic checks of a configuration that has already passed its schema. */
export function validateRouteConfiguration(configuration: RouteConfiguration): readonly Issue[] {
  return [
    ...findUnknownServices(configuration),
    ...findDuplicateMatches(configuration),
    ...findZeroWeights(configuration),
    ...findZeroTimeouts(configuration),
    ...findDuplicateTeamNames(configuration),
    ...findKeysSharedByTeams(configuration),
  ];
}

function findUnknownServices({ routes, services }: RouteConfiguration): readonly Issue[] {
  const known = new Set(services.map(({ name }) => name));
  return routes.flatMap((route, index) =>
    route.services
      .filter(({ service }) => !known.has(service))
      .map(({ service }) => ({
        code: 'unknown_service',
        path: ['routes', index],
        message: `names the service "${service}", which is not defined; define it or name another`,
      })),
  );
}

function findDuplicateMatches({ routes }: RouteConfiguration): readonly Issue[] {
  const nameByMatch = new Map<string, string>();
  const issues: Issue[] = [];
  routes.forEach(({ host, pathPrefix, name }, index) => {
    const match = `${canonicalHostName(host)} ${pathPrefix}`;
    const otherName = nameByMatch.get(match);
    nameByMatch.set(match, name);
    if (otherName === undefined) return;
    const message = `has the same host and prefix as "${otherName}"; change one of them`;
    issues.push({ code: 'same_place', path: ['routes', index], message });
  });
  return issues;
}

function findZeroWeights({ routes }: RouteConfiguration): readonly Issue[] {
  return routes.flatMap(({ services }, index) => {
    const total = services.reduce((sum, { weight }) => sum + weight, 0);
    if (total > 0) return [];
    const message = 'has weights that add up to 0; give one service a weight above 0';
    return [{ code: 'no_weight', path: ['routes', index], message }];
  });
}

function findZeroTimeouts({ routes }: RouteConfiguration): readonly Issue[] {
  return routes.flatMap(({ timeoutMilliseconds }, index) => {
    if (timeoutMilliseconds > 0) return [];
    const message = 'has a timeout of 0; give it a time above 0';
    return [{ code: 'no_timeout', path: ['routes', index], message }];
  });
}

function findDuplicateTeamNames({ teams = [] }: RouteConfiguration): readonly Issue[] {
  const seen = new Set<string>();
  return teams.flatMap(({ name }, index) => {
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    const message = `has the same name as another team, "${name}"; rename one of them`;
    return [{ code: 'name_twice', path: ['teams', index], message }];
  });
}

function findKeysSharedByTeams({ teams = [] }: RouteConfiguration): readonly Issue[] {
  return findSharedKeys(
    teams.map(({ name, keyDigests }, index) => ({
      name,
      keyDigests,
      path: ['teams', index, 'keys'],
    })),
  );
}
