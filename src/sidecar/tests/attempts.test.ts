import { AttemptTable } from '../attempts';

const RESPONSE = { kind: 'call', status: 200, contentType: 'text/plain', body: '' } as const;

describe('AttemptTable', () => {
  let attempts: AttemptTable;

  beforeEach(() => {
    attempts = new AttemptTable();
  });

  it('admits an attempt only once', () => {
    expect(attempts.admit('a')).toBe('admitted');
    expect(attempts.admit('a')).toBe('used');
  });

  it('never admits an attempt after its revocation', () => {
    expect(attempts.revoke('a')).toEqual({ state: 'revoked' });
    expect(attempts.admit('a')).toBe('revoked');
  });

  it('does not revoke an admitted attempt, and returns its state', () => {
    attempts.admit('a');
    expect(attempts.revoke('a')).toEqual({ state: 'running' });
    attempts.complete('a', RESPONSE);
    expect(attempts.revoke('a')).toEqual({ state: 'answered', answer: RESPONSE });
  });

  it('revokes an admitted attempt that did not reach the target', () => {
    attempts.admit('a');
    attempts.markNotRun('a');
    expect(attempts.revoke('a')).toEqual({ state: 'revoked' });
    expect(attempts.admit('a')).toBe('revoked');
  });

  it('evicts the oldest responses first, and still reports these attempts as sent', () => {
    const large = { ...RESPONSE, body: 'x'.repeat(1024 * 1024) };
    for (const attempt of ['a', 'b', 'c', 'd', 'e']) {
      attempts.admit(attempt);
      attempts.complete(attempt, large);
    }
    expect(attempts.revoke('a')).toEqual({ state: 'unknown' });
    expect(attempts.revoke('e')).toMatchObject({ state: 'answered' });
  });
});
