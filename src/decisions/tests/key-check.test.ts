import type { Team } from '../../teams';
import { checkKey, isConfirmationValid } from '..';

const TEAM: Team = { name: 'red', keyDigests: [], priority: 0, quota: undefined };
const IDENTITY = { kind: 'team', team: TEAM } as const;

describe('checkKey', () => {
  describe('with a removal deadline of 5 s', () => {
    const removalMilliseconds = 5000;

    it('accepts a key until 85% of the deadline has passed since the last confirmation', () => {
      const decisionAt = (confirmationAge: number) =>
        checkKey({ identity: IDENTITY, confirmationAge, removalMilliseconds }).kind;
      expect([0, 3000, 4200].map(decisionAt)).toEqual(['serve', 'serve', 'serve']);
      expect([4300, 5000, Infinity].map(decisionAt)).toEqual(['refuse', 'refuse', 'refuse']);
    });

    it('refuses with 503 and Retry-After when the confirmation has expired', () => {
      const input = { identity: IDENTITY, confirmationAge: Infinity, removalMilliseconds };
      expect(checkKey(input)).toMatchObject({
        refusal: { status: 503, code: 'keys_unconfirmed', retryAfterSeconds: 0.6 },
      });
    });
  });

  describe('without a removal deadline', () => {
    it('accepts a key without a confirmation', () => {
      expect(isConfirmationValid(Infinity, undefined)).toBe(true);
    });
  });

  describe('when the request matches no team', () => {
    const unconfirmed = { confirmationAge: Infinity, removalMilliseconds: 5000 };

    it('serves anonymous callers without a confirmation', () => {
      expect(checkKey({ identity: { kind: 'anyone' }, ...unconfirmed })).toEqual({ kind: 'serve' });
    });

    it('refuses a missing key and asks the leader about an unknown key', () => {
      expect(checkKey({ identity: { kind: 'no-key' }, ...unconfirmed })).toMatchObject({
        refusal: { status: 401, code: 'no_key' },
      });
      expect(checkKey({ identity: { kind: 'unknown-key' }, ...unconfirmed })).toEqual({
        kind: 'ask',
      });
    });
  });
});
