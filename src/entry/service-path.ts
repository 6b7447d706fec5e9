import type { Service } from '../configuration';
import { notRun } from './refusal';

/** Where a request below `/services/` goes. */
export interface ServicePath {
  readonly service: string;
  /** Path and query at the service. */
  readonly path: string;
}

const PREFIX = '/services/';

/** Encoded separators, dots and backslashes could mean another path; so could other characters. */
const SUSPICIOUS = /%2f|%5c|%2e|%00|%0a|%0d|[^!-~]|\\/i;

/** Splits `/services/{service}/{path}`; a path that could be read in two ways is refused. */
export function parseServicePath(url: string): ServicePath {
  const query = url.indexOf('?');
  const path = query < 0 ? url : url.slice(0, query);
  const segments = path.slice(PREFIX.length).split('/');
  const [service = '', ...rest] = segments;
  const odd = rest.slice(0, -1).includes('') || rest.includes('..') || rest.includes('.');
  if (service === '' || odd || SUSPICIOUS.test(path) || url.includes('#')) {
    throw notRun(
      400,
      'bad-request',
      `the path "${path.slice(0, 200)}" is not a plain service path`,
    );
  }
  const search = query < 0 ? '' : url.slice(query);
  return { service, path: `/${rest.join('/')}${search}` };
}

/** Whether a call to a service may be made again when nobody knows whether it ran. */
export function isRepeatable(service: Service, method: string, path: string): boolean {
  return !service['not-repeatable'].some(
    (rule) =>
      rule.method === method &&
      (path === rule.path ||
        path.startsWith(withSlash(rule.path)) ||
        path.startsWith(`${rule.path}?`)),
  );
}

function withSlash(path: string): string {
  return path.endsWith('/') ? path : `${path}/`;
}
