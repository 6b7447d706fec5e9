import type { Issue } from '../core';
import { findSharedKeys } from '../teams';
import type { RouteConfiguration } from './configuration';

/** Finds what makes a configuration that was read whole unfit to be in force. */
export function checkRouteConfiguration(configuration: RouteConfiguration): readonly Issue[] {
  return [
    ...findUnknownServices(configuration),
    ...findSamePlaces(configuration),
    ...findWeightless(configuration),
    ...findWithoutTime(configuration),
    ...findSameTeams(configuration),
    ...findKeysOfTwoTeams(configuration),
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

function findSamePlaces({ routes }: RouteConfiguration): readonly Issue[] {
  const places = new Map<string, string>();
  const issues: Issue[] = [];
  routes.forEach(({ host, pathPrefix, name }, index) => {
    const place = `${host} ${pathPrefix}`;
    const other = places.get(place);
    places.set(place, name);
    if (other === undefined) return;
    const message = `has the same host and prefix as "${other}"; change one of them`;
    issues.push({ code: 'same_place', path: ['routes', index], message });
  });
  return issues;
}

function findWeightless({ routes }: RouteConfiguration): readonly Issue[] {
  return routes.flatMap(({ services }, index) => {
    const sum = services.reduce((total, { weight }) => total + weight, 0);
    if (sum > 0) return [];
    const message = 'has weights that add up to 0; give one service a weight above 0';
    return [{ code: 'no_weight', path: ['routes', index], message }];
  });
}

function findWithoutTime({ routes }: RouteConfiguration): readonly Issue[] {
  return routes.flatMap(({ timeoutMilliseconds }, index) => {
    if (timeoutMilliseconds > 0) return [];
    const message = 'has a timeout of 0; give it a time above 0';
    return [{ code: 'no_timeout', path: ['routes', index], message }];
  });
}

function findSameTeams({ teams = [] }: RouteConfiguration): readonly Issue[] {
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

function findKeysOfTwoTeams({ teams = [] }: RouteConfiguration): readonly Issue[] {
  return findSharedKeys(
    teams.map(({ name, keyDigests }, index) => ({
      name,
      keyDigests,
      path: ['teams', index, 'keys'],
    })),
  );
}
