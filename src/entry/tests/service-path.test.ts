import { parseServicePath } from '../service-path';

describe('paths below /services/', () => {
  it('are split into service and path with the query', () => {
    expect(parseServicePath('/services/check-in/queue/4?gate=7')).toEqual({
      service: 'check-in',
      path: '/queue/4?gate=7',
    });
    expect(parseServicePath('/services/check-in')).toEqual({ service: 'check-in', path: '/' });
    expect(parseServicePath('/services/check-in/queue/')).toMatchObject({ path: '/queue/' });
  });

  it.each([
    '/services/check-in/../orders',
    '/services/check-in/./x',
    '/services/check-in/%2e%2e/orders',
    '/services/check-in/%2E%2E%2Forders',
    '/services/check-in/a\\b',
    '/services/check-in/a#b',
    '/services/check-in/a b',
    '/services/check-in/é',
  ])('are refused when ambiguous: %s', (path) => {
    expect(() => parseServicePath(path)).toThrow('is not a plain service path');
  });
});
