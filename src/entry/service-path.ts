import type { Service } from '../configuration';
import { notRunRefusal } from './refusal';

export interface ServicePath {
  readonly service: string;
  /** Path and query to request at the service. */
  readonly path: string;
}

const PATH_PREFIX = '/services/';

/** Characters that servers decode or normalize in different ways. */
const AMBIGUOUS_CHARACTERS = /%2f|%5c|%2e|%00|%0a|%0d|[^!-~]|\\/i;

/** Splits `/services/{service}/{path}`; throws a refusal with status 400 for an ambiguous path. */
export function parseServicePath(url: string): ServicePath {
  const queryIndex = url.indexOf('?');
  const path = queryIndex < 0 ? url : url.slice(0, queryIndex);
  const segments = path.slice(PATH_PREFIX.length).split('/');
  const [service = '', ...rest] = segments;
  const hasAmbiguousSegment =
    rest.slice(0, -1).includes('') || rest.includes('..') || rest.includes('.');
  if (
    service === '' ||
    hasAmbiguousSegment ||
    AMBIGUOUS_CHARACTERS.test(path) ||
    url.includes('#')
  ) {
    throw notRunRefusal(
      400,
      'bad-request',
      `the path "${path.slice(0, 200)}" is not a plain service path`,
    );
  }
  const search = queryIndex < 0 ? '' : url.slice(queryIndex);
  return { service, path: `/${rest.join('/')}${search}` };
}

/** Whether a call may be sent again when it is unknown whether it ran. */
export function isRepeatable(service: Service, method: string, path: string): boolean {
  return !service['not-repeatable'].some(
    (rule) =>
      rule.method === method &&
      (path === rule.path ||
        path.startsWith(withTrailingSlash(rule.path)) ||
        path.startsWith(`${rule.path}?`)),
  );
}

function withTrailingSlash(path: string): string {
  return path.endsWith('/') ? path : `${path}/`;
}
