import { TeamDirectory } from '../teams';
import { canonicalHostName } from './host-name';
import type { Route, RouteConfiguration, RouteService, Service } from './configuration';

/** Finds routes by host and longest path prefix. */
export class RouteTable {
  readonly configuration: RouteConfiguration;
  /** `undefined` if callers need no key. */
  readonly teams: TeamDirectory | undefined;
  readonly #routesByHost = new Map<string, Map<string, Route>>();
  readonly #services: ReadonlyMap<string, Service>;

  constructor(configuration: RouteConfiguration) {
    this.configuration = configuration;
    const { teams } = configuration;
    this.teams = teams === undefined ? undefined : new TeamDirectory(teams);
    this.#services = new Map(configuration.services.map((service) => [service.name, service]));
    for (const route of configuration.routes) {
      const host = canonicalHostName(route.host);
      const routes = this.#routesByHost.get(host) ?? new Map<string, Route>();
      routes.set(route.pathPrefix, route);
      this.#routesByHost.set(host, routes);
    }
  }

  /** `host` is a `Host` field, `path` has no query string. */
  find(host: string, path: string): Route | undefined {
    const routes = this.#routesByHost.get(canonicalHostName(host));
    if (routes === undefined) return undefined;
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) break;
    }
    return undefined;
  }

  service(name: string): Service | undefined {
    return this.#services.get(name);
  }
}

/** Selects one of a route's services by weight; `fraction` is a random number in [0, 1). */
export function pickService(
  services: readonly RouteService[],
  fraction: number,
): RouteService | undefined {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  for (const service of services) {
    remaining -= service.weight;
    if (remaining < 0) return service;
  }
  return services.findLast(({ weight }) => weight > 0);
}
