import { digestFiles } from '../../configuration';
import { ConfigurationStateMachine, acceptConfigurationSchema, encodeLeavingHosts } from '..';
import { filesWithBudget } from './state-machine-fixture';

function acceptInput(number: number, tokens: number) {
  const files = filesWithBudget(tokens, 10).map((file) => ({
    ...file,
    text: file.text.replace('number = 1', `number = ${number}`),
  }));
  return { number, digest: digestFiles(files), files };
}

describe('ConfigurationStateMachine', () => {
  let machine: ConfigurationStateMachine;

  beforeEach(() => {
    machine = new ConfigurationStateMachine();
    accept(acceptInput(1, 10_000));
  });

  function accept(input: ReturnType<typeof acceptInput>) {
    return machine.apply(JSON.stringify(input));
  }

  it('returns the original outcome for a repeated configuration, despite a later one', () => {
    const second = acceptInput(2, 100);
    const answer = accept(second);
    expect(answer).toMatchObject({ outcome: 'accepted', number: 2 });
    expect(accept(acceptInput(3, 200))).toMatchObject({ outcome: 'accepted', number: 3 });
    expect(accept(second)).toEqual(answer);
    expect(machine.number).toBe(3);
  });

  it('rejects a number accepted with another digest, and returns the accepted digest', () => {
    const accepted = acceptInput(2, 100);
    accept(accepted);
    expect(accept(acceptInput(2, 200))).toMatchObject({
      outcome: 'not-accepted',
      code: 'number-taken',
      digest: accepted.digest,
    });
  });

  it('rejects a lower number, and files that do not match their digest', () => {
    accept(acceptInput(5, 100));
    expect(accept(acceptInput(4, 100))).toMatchObject({ code: 'number-low', number: 5 });
    expect(accept({ ...acceptInput(6, 100), digest: 'x' })).toMatchObject({ code: 'invalid' });
  });

  it('keeps the outcomes of all accepted numbers across a snapshot', () => {
    const numbers = Array.from({ length: 1500 }, (_, index) => index + 2);
    const [first, ...rest] = numbers.map((number) => acceptInput(number, number));
    const answers = [first, ...rest].map((input) => input && accept(input));
    const restored = new ConfigurationStateMachine();
    restored.restore([...machine.snapshot()]);
    expect(restored.number).toBe(1501);
    expect(restored.changesSince(1500)).toEqual(machine.changesSince(1500));
    expect(first && restored.apply(JSON.stringify(first))).toEqual(answers[0]);
  });

  describe('leaving hosts', () => {
    it('are kept across a snapshot and a new configuration, until they are replaced', () => {
      machine.apply(encodeLeavingHosts(['host-a', 'host-b']));
      accept(acceptInput(2, 100));
      const restored = new ConfigurationStateMachine();
      restored.restore([...machine.snapshot()]);
      expect(restored.leavingHosts).toEqual(['host-a', 'host-b']);
      restored.apply(encodeLeavingHosts([]));
      expect(restored.leavingHosts).toEqual([]);
      restored.restore([...restored.snapshot()]);
      expect(restored.leavingHosts).toEqual([]);
    });

    // Guards against a rolling upgrade in which members of the earlier version stop at the entry or
    // accept it as a configuration.
    it('are refused by the rules for configurations', () => {
      const empty = new ConfigurationStateMachine();
      const entry = acceptConfigurationSchema.parse(JSON.parse(encodeLeavingHosts(['host-a'])));
      for (const member of [empty, machine]) {
        const { number } = member;
        expect(member.apply(JSON.stringify(entry))).toMatchObject({ outcome: 'not-accepted' });
        expect(member.number).toBe(number);
      }
    });
  });

  describe('changesSince', () => {
    it('returns only the files that differ, and the names of all', () => {
      accept(acceptInput(2, 100));
      const changes = machine.changesSince(1);
      expect(changes?.changed.map((file) => file.name)).toEqual(['places.toml', 'programs.toml']);
      expect(changes?.names).toHaveLength(4);
      expect(machine.changesSince(2)).toBeUndefined();
    });

    it('spans hundreds of configurations', () => {
      for (let number = 2; number <= 600; number += 1) accept(acceptInput(number, number));
      expect(machine.changesSince(1)?.changed).toHaveLength(2);
      expect(machine.changesSince(0)?.changed).toHaveLength(4);
    });
  });
});
