import { type ClusterCommand, ClusterStateMachine, type StoreView } from '..';

function createMachine(): ClusterStateMachine {
  return new ClusterStateMachine({ onConfiguration: () => undefined, onView: () => undefined });
}

function apply(machine: ClusterStateMachine, command: ClusterCommand) {
  return machine.apply(JSON.stringify(command));
}

const VIEW: StoreView = { epoch: 1, members: [], quorum: 2 };

describe('ClusterStateMachine', () => {
  describe('configuration', () => {
    it('is replaced only by a higher version', () => {
      const machine = createMachine();
      const outcomes = [5, 3, 5, 8].map((version) =>
        apply(machine, { kind: 'configure', version, text: `text ${version}` }),
      );
      expect(outcomes).toEqual(['changed', 'unchanged', 'unchanged', 'changed']);
      expect(machine.configuration).toEqual({ version: 8, text: 'text 8' });
    });

    it('keeps the first text of a version', () => {
      const machine = createMachine();
      apply(machine, { kind: 'configure', version: 5, text: 'first' });
      apply(machine, { kind: 'configure', version: 5, text: 'second' });
      expect(machine.configuration?.text).toBe('first');
    });
  });

  describe('view', () => {
    it('accepts only the next epoch, so that the first of two views of an epoch is kept', () => {
      const machine = createMachine();
      expect(apply(machine, { kind: 'view', view: VIEW })).toBe('changed');
      expect(apply(machine, { kind: 'view', view: { ...VIEW, quorum: 3 } })).toBe('unchanged');
      expect(apply(machine, { kind: 'view', view: { ...VIEW, epoch: 3 } })).toBe('unchanged');
      expect(machine.view).toEqual(VIEW);
    });
  });

  describe('retirements', () => {
    it('do not return from completed to running', () => {
      const machine = createMachine();
      apply(machine, { kind: 'retire', store: 's', state: 'running' });
      apply(machine, { kind: 'retire', store: 's', state: 'completed' });
      apply(machine, { kind: 'retire', store: 's', state: 'running' });
      expect(machine.retirements.get('s')).toBe('completed');
    });
  });

  describe('snapshot', () => {
    it('restores configuration, view and retirements', () => {
      const machine = createMachine();
      apply(machine, { kind: 'configure', version: 5, text: 'a\nb' });
      apply(machine, { kind: 'view', view: VIEW });
      apply(machine, { kind: 'retire', store: 's', state: 'running' });
      const copy = createMachine();
      copy.restore([...machine.snapshot()]);
      expect(copy.configuration).toEqual({ version: 5, text: 'a\nb' });
      expect(copy.view).toEqual(VIEW);
      expect([...copy.retirements]).toEqual([['s', 'running']]);
      expect([...copy.snapshot()]).toEqual([...machine.snapshot()]);
    });
  });
});
