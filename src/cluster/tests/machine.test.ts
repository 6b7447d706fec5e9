import { type ClusterCommand, ClusterMachine, type StoreView } from '..';

function createMachine(): ClusterMachine {
  return new ClusterMachine({ onConfiguration: () => undefined, onView: () => undefined });
}

function apply(machine: ClusterMachine, command: ClusterCommand) {
  return machine.apply(JSON.stringify(command));
}

const VIEW: StoreView = { epoch: 1, members: [], quorum: 2 };

describe('the replicated state of the cluster', () => {
  describe('its configuration', () => {
    it('goes to the highest version only', () => {
      const machine = createMachine();
      const outcomes = [5, 3, 5, 8].map((version) =>
        apply(machine, { kind: 'configure', version, text: `text ${version}` }),
      );
      expect(outcomes).toEqual(['changed', 'unchanged', 'unchanged', 'changed']);
      expect(machine.configuration).toEqual({ version: 8, text: 'text 8' });
    });

    it('keeps the first content of a version', () => {
      const machine = createMachine();
      apply(machine, { kind: 'configure', version: 5, text: 'first' });
      apply(machine, { kind: 'configure', version: 5, text: 'second' });
      expect(machine.configuration?.text).toBe('first');
    });
  });

  describe('its stores in use', () => {
    it('change one epoch at a time, so of two plans for one epoch the first holds', () => {
      const machine = createMachine();
      expect(apply(machine, { kind: 'view', view: VIEW })).toBe('changed');
      expect(apply(machine, { kind: 'view', view: { ...VIEW, quorum: 3 } })).toBe('unchanged');
      expect(apply(machine, { kind: 'view', view: { ...VIEW, epoch: 3 } })).toBe('unchanged');
      expect(machine.view).toEqual(VIEW);
    });
  });

  describe('its retirements', () => {
    it('stay completed', () => {
      const machine = createMachine();
      apply(machine, { kind: 'retire', store: 's', state: 'running' });
      apply(machine, { kind: 'retire', store: 's', state: 'completed' });
      apply(machine, { kind: 'retire', store: 's', state: 'running' });
      expect(machine.retirements.get('s')).toBe('completed');
    });
  });

  describe('its snapshot', () => {
    it('brings all of it back', () => {
      const machine = createMachine();
      apply(machine, { kind: 'configure', version: 5, text: 'a\nb' });
      apply(machine, { kind: 'view', view: VIEW });
      apply(machine, { kind: 'retire', store: 's', state: 'running' });
      const copy = createMachine();
      copy.restore([...machine.snapshot()]);
      expect([...copy.snapshot()]).toEqual([...machine.snapshot()]);
    });
  });
});
