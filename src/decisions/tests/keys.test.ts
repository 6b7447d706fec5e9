import type { Team } from '../../teams';
import { judgeKey, mayUseKeys } from '..';

const TEAM: Team = { name: 'red', keyDigests: [], priority: 0, quota: undefined };
const IDENTITY = { kind: 'team', team: TEAM } as const;

describe('the use of a key', () => {
  describe('where removed keys must be out of use within 5 s', () => {
    const removalMilliseconds = 5000;

    it('goes on while the leader was heard lately, and ends before the time is over', () => {
      const verdictAt = (confirmationAge: number) =>
        judgeKey({ identity: IDENTITY, confirmationAge, removalMilliseconds }).kind;
      expect([0, 3000, 4200].map(verdictAt)).toEqual(['serve', 'serve', 'serve']);
      expect([4300, 5000, Infinity].map(verdictAt)).toEqual(['refuse', 'refuse', 'refuse']);
    });

    it('is refused as not run, with a time to come back', () => {
      const snapshot = { identity: IDENTITY, confirmationAge: Infinity, removalMilliseconds };
      expect(judgeKey(snapshot)).toMatchObject({
        refusal: { status: 503, code: 'keys_unconfirmed', retryAfterSeconds: 0.6 },
      });
    });
  });

  describe('where nothing is asked of their removal', () => {
    it('goes on without the leader', () => {
      expect(mayUseKeys(Infinity, undefined)).toBe(true);
    });
  });

  describe('without a team', () => {
    const others = { confirmationAge: Infinity, removalMilliseconds: 5000 };

    it('needs no leader where anyone is served', () => {
      expect(judgeKey({ identity: { kind: 'anyone' }, ...others })).toEqual({ kind: 'serve' });
    });

    it('is refused without a key, and asked about with one that nobody is known to hold', () => {
      expect(judgeKey({ identity: { kind: 'no-key' }, ...others })).toMatchObject({
        refusal: { status: 401, code: 'no_key' },
      });
      expect(judgeKey({ identity: { kind: 'unknown-key' }, ...others })).toEqual({ kind: 'ask' });
    });
  });
});
