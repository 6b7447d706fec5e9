import type { LeaderConfirmation } from '../cluster';
import type { Refusal } from '../decisions';
import type { Route, RouteTable } from '../routes';
import type { Exchange } from './exchange';

/** Covers two intervals of the heartbeats to the leader. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 600;

/** Requests that may wait at once, so that requests to unknown paths cannot exhaust memory. */
const CONFIRMATION_WAITERS_LIMIT = 256;

/** Covers the election of a leader after all processes have started, which takes 0.6 s. */
const CONFIGURATION_RETRY_SECONDS = 0.7;

export interface RouteFinderOptions {
  readonly routes: () => RouteTable | undefined;
  readonly confirmation: Pick<LeaderConfirmation, 'waitForConfirmation' | 'waiterCount'>;
}

export type RouteLookup =
  | { readonly kind: 'found'; readonly route: Route; readonly table: RouteTable }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/**
 * Finds the route of a request. A route is definitely unknown only if the leader confirmed after the
 * request arrived that this process has the newest configuration: another gateway may have served
 * the earlier turns of a program on a route that was added since.
 */
export class RouteFinder {
  readonly #options: RouteFinderOptions;

  constructor(options: RouteFinderOptions) {
    this.#options = options;
  }

  async find(exchange: Exchange): Promise<RouteLookup> {
    const known = this.#findKnown(exchange);
    if (known !== undefined) return known;
    const isConfirmed = await this.#awaitConfirmation(exchange);
    const refusal = isConfirmed
      ? noRouteRefusal(this.#options.routes()?.configuration.version)
      : ROUTES_UNCONFIRMED;
    return this.#findKnown(exchange) ?? { kind: 'refused', refusal };
  }

  /** Undefined if this process's configuration has no route for the request. */
  #findKnown({ request }: Exchange): RouteLookup | undefined {
    const table = this.#options.routes();
    if (table === undefined) return { kind: 'refused', refusal: NO_CONFIGURATION };
    const { host = '' } = request.headers;
    const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
    const route = table.find(host, path);
    return route === undefined ? undefined : { kind: 'found', route, table };
  }

  async #awaitConfirmation({ arrivedAt, remainingMilliseconds }: Exchange): Promise<boolean> {
    const { confirmation } = this.#options;
    if (confirmation.waiterCount >= CONFIRMATION_WAITERS_LIMIT) return false;
    const milliseconds = Math.min(CONFIRMATION_TIMEOUT_MILLISECONDS, remainingMilliseconds);
    return confirmation.waitForConfirmation(arrivedAt, Math.max(0, milliseconds));
  }
}

const NO_CONFIGURATION: Refusal = {
  status: 503,
  code: 'no_configuration',
  message: 'no configuration is known here yet; the request was not run',
  retryAfterSeconds: CONFIGURATION_RETRY_SECONDS,
};

const ROUTES_UNCONFIRMED: Refusal = {
  status: 503,
  code: 'routes_unconfirmed',
  message:
    'no route is known for this host and path, but a newer configuration may have one; ' +
    'the request was not run',
  retryAfterSeconds: CONFIGURATION_RETRY_SECONDS,
};

function noRouteRefusal(version = 0): Refusal {
  const message = `configuration ${version} has no route for this host and path`;
  return { status: 404, code: 'no_route', message };
}
