import { AttemptTable } from '../attempts';

const ANSWER = { kind: 'call', status: 200, contentType: 'text/plain', body: '' } as const;

describe('attempts at a sidecar', () => {
  let attempts: AttemptTable;

  beforeEach(() => {
    attempts = new AttemptTable();
  });

  it('are admitted once', () => {
    expect(attempts.admit('a')).toBe('admitted');
    expect(attempts.admit('a')).toBe('used');
  });

  it('are never admitted after a revocation, however late they come', () => {
    expect(attempts.revoke('a')).toEqual({ state: 'revoked' });
    expect(attempts.admit('a')).toBe('revoked');
  });

  it('can no longer be revoked once admitted, and tell where they stand', () => {
    attempts.admit('a');
    expect(attempts.revoke('a')).toEqual({ state: 'running' });
    attempts.settle('a', ANSWER);
    expect(attempts.revoke('a')).toEqual({ state: 'answered', answer: ANSWER });
  });

  it('count as not run when the target provably did not get them', () => {
    attempts.admit('a');
    attempts.withdraw('a');
    expect(attempts.revoke('a')).toEqual({ state: 'revoked' });
    expect(attempts.admit('a')).toBe('revoked');
  });

  it('forget old answers before they forget that they ran', () => {
    const large = { ...ANSWER, body: 'x'.repeat(1024 * 1024) };
    for (const attempt of ['a', 'b', 'c', 'd', 'e']) {
      attempts.admit(attempt);
      attempts.settle(attempt, large);
    }
    expect(attempts.revoke('a')).toEqual({ state: 'unknown' });
    expect(attempts.revoke('e')).toMatchObject({ state: 'answered' });
  });
});
