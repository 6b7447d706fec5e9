import fc from 'fast-check';
import { type Team, TeamDirectory, digestKey, findSharedKeys, identify, teamScopedId } from '..';

function team(name: string, ...keys: readonly string[]): Team {
  return { name, keyDigests: keys.map(digestKey), priority: 0, quota: undefined };
}

describe('teams', () => {
  const teams = new TeamDirectory([team('red', 'r1', 'r2'), team('blue', 'b1'), team('grey')]);
  const closed = { isPublic: false };

  describe('identified by a key', () => {
    it('are found by each of their keys', () => {
      expect(identify(teams, { key: 'r2', ...closed })).toMatchObject({ team: { name: 'red' } });
      expect(identify(teams, { key: 'b1', ...closed })).toMatchObject({ team: { name: 'blue' } });
    });

    it('are not found without a key or by an unknown key', () => {
      expect(identify(teams, { key: undefined, ...closed })).toEqual({ kind: 'no-key' });
      expect(identify(teams, { key: 'r3', ...closed })).toEqual({ kind: 'unknown-key' });
      expect(identify(teams, { key: digestKey('r1'), ...closed })).toEqual({ kind: 'unknown-key' });
    });

    it('are found on public routes, which accept any other caller too', () => {
      const open = { isPublic: true };
      expect(identify(teams, { key: 'r1', ...open })).toMatchObject({ team: { name: 'red' } });
      expect(identify(teams, { key: 'r3', ...open })).toEqual({ kind: 'anyone' });
      expect(identify(teams, { key: undefined, ...open })).toEqual({ kind: 'anyone' });
    });
  });

  describe('missing from the configuration', () => {
    it('accept every caller, with and without a key', () => {
      expect(identify(undefined, { key: 'r1', ...closed })).toEqual({ kind: 'anyone' });
      expect(identify(undefined, { key: undefined, ...closed })).toEqual({ kind: 'anyone' });
    });

    it('accept no caller if the configuration has an empty list', () => {
      const none = new TeamDirectory([]);
      expect(identify(none, { key: 'r1', ...closed })).toEqual({ kind: 'unknown-key' });
    });
  });

  describe('with a shared key', () => {
    it('are reported by name and path, without the key', () => {
      const keyed = [team('red', 'r1', 'same'), team('blue', 'same')].map((one, index) => ({
        ...one,
        path: ['teams', index, 'keys'],
      }));
      const issues = findSharedKeys(keyed);
      expect(issues).toMatchObject([{ code: 'shared_key', path: ['teams', 1, 'keys', 0] }]);
      expect(issues[0]?.message).toContain('"red"');
      expect(JSON.stringify(issues)).not.toContain('same');
    });

    it('are not reported if one team lists its own key twice', () => {
      expect(findSharedKeys([{ ...team('red', 'r1', 'r1'), path: [] }])).toEqual([]);
    });
  });

  describe('with equal ids', () => {
    /** Header values contain no line feed. */
    const callersId = fc.string().map((text) => text.replaceAll('\n', ''));

    it('get the same scoped id only for the same team and id', () => {
      const anyTeam = fc.option(fc.string(), { nil: undefined });
      const teamAndId = fc.record({ name: anyTeam, id: callersId });
      fc.assert(
        fc.property(teamAndId, teamAndId, (left, right) => {
          const idOf = ({ name, id }: typeof left) =>
            teamScopedId(name === undefined ? undefined : { name }, id);
          const isSame = left.name === right.name && left.id === right.id;
          expect(idOf(left) === idOf(right)).toBe(isSame);
        }),
        { numRuns: 2000, seed: 1 },
      );
    });
  });
});
