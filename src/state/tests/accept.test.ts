import { digestFiles } from '../../configuration';
import { ConfigurationStateMachine } from '..';
import { filesWithBudget } from './fixture';

function directory(number: number, tokens: number) {
  const files = filesWithBudget(tokens, 10).map((file) => ({
    ...file,
    text: file.text.replace('number = 1', `number = ${number}`),
  }));
  return { number, digest: digestFiles(files), files };
}

describe('accepting a configuration', () => {
  let machine: ConfigurationStateMachine;

  beforeEach(() => {
    machine = new ConfigurationStateMachine();
    accept(directory(1, 10_000));
  });

  function accept(input: ReturnType<typeof directory>) {
    return machine.apply(JSON.stringify(input));
  }

  it('gives a resend its first answer for ever, also when a higher one is in force', () => {
    const second = directory(2, 100);
    const answer = accept(second);
    expect(answer).toMatchObject({ outcome: 'accepted', number: 2 });
    expect(accept(directory(3, 200))).toMatchObject({ outcome: 'accepted', number: 3 });
    expect(accept(second)).toEqual(answer);
    expect(machine.number).toBe(3);
  });

  it('refuses the loser of a race with equal numbers, naming the winner', () => {
    const winner = directory(2, 100);
    accept(winner);
    expect(accept(directory(2, 200))).toMatchObject({
      outcome: 'not-accepted',
      code: 'number-taken',
      digest: winner.digest,
    });
  });

  it('refuses a lower number, and files that do not match their digest', () => {
    accept(directory(5, 100));
    expect(accept(directory(4, 100))).toMatchObject({ code: 'number-low', number: 5 });
    expect(accept({ ...directory(6, 100), digest: 'x' })).toMatchObject({ code: 'invalid' });
  });

  it('answers alike over a snapshot, for every number that was ever accepted', () => {
    const numbers = Array.from({ length: 1500 }, (_, index) => index + 2);
    const [first, ...rest] = numbers.map((number) => directory(number, number));
    const answers = [first, ...rest].map((input) => input && accept(input));
    const restored = new ConfigurationStateMachine();
    restored.restore([...machine.snapshot()]);
    expect(restored.number).toBe(1501);
    expect(restored.changesSince(1500)).toEqual(machine.changesSince(1500));
    expect(first && restored.apply(JSON.stringify(first))).toEqual(answers[0]);
  });

  describe('as changes since a number', () => {
    it('tells only the files that differ, and the names of all', () => {
      accept(directory(2, 100));
      const changes = machine.changesSince(1);
      expect(changes?.changed.map((file) => file.name)).toEqual(['places.toml', 'programs.toml']);
      expect(changes?.names).toHaveLength(4);
      expect(machine.changesSince(2)).toBeUndefined();
    });

    it('lead over hundreds of changes at once', () => {
      for (let number = 2; number <= 600; number += 1) accept(directory(number, number));
      expect(machine.changesSince(1)?.changed).toHaveLength(2);
      expect(machine.changesSince(0)?.changed).toHaveLength(4);
    });
  });
});
