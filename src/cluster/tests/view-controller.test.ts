import { createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import {
  type ClusterCommand,
  type ClusterReplica,
  NodeDirectory,
  type StoreView,
  ViewController,
} from '..';

const STEP_MILLISECONDS = 150;

const MEMBERS = ['a', 'b', 'c'];

const VIEW: StoreView = {
  epoch: 1,
  quorum: 2,
  members: MEMBERS.map((name) => ({
    name,
    address: name,
    availabilityZone: name,
    dataLife: name,
    joined: 1,
  })),
};

/** A controller of the view a, b, c; the heartbeats of the stores are given step by step. */
function createController() {
  const clock = new ManualClock();
  const directory = new NodeDirectory(clock);
  const proposed: ClusterCommand[] = [];
  const replica = {
    serves: true,
    stateMachine: { view: VIEW, retirements: new Map<string, string>() },
    propose: (command: ClusterCommand) => {
      proposed.push(command);
      return Promise.resolve({ kind: 'done', value: 'changed' });
    },
    read: (read: () => unknown) => ({ kind: 'done', value: read() }),
  };
  const controller = new ViewController({
    replica: replica as unknown as ClusterReplica,
    directory,
    toleratedLosses: 1,
    clock,
    logger: createSilentLogger(),
  });
  controller.start();
  const recordHeartbeat = (name: string) => {
    const node = {
      name,
      kind: 'store' as const,
      address: name,
      availabilityZone: name,
      keepsClusterState: false,
      run: '',
      dataLife: name,
    };
    directory.recordHeartbeat(node, { configurationVersion: 0, viewEpoch: 1, completeFor: 1 });
  };
  const pass = async (milliseconds: number, responsive: readonly string[]) => {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      responsive.forEach(recordHeartbeat);
      clock.advance(STEP_MILLISECONDS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  return { controller, replica, proposed, pass };
}

// Guards against a view that gives up a store which still holds turns, or its last copies.
describe('ViewController', () => {
  describe('with a member that sends no heartbeats', () => {
    it('replaces it once its heartbeats are missing for a while', async () => {
      const { proposed, pass } = createController();
      await pass(3000, [...MEMBERS, 'd']);
      await pass(1050, ['a', 'b', 'd']);
      expect(proposed).toEqual([]);
      await pass(900, ['a', 'b', 'd']);
      expect(proposed[0]).toMatchObject({ kind: 'view', view: { epoch: 2 } });
    });

    it('waits after a change of leader until all stores can have sent one', async () => {
      const { proposed, pass } = createController();
      await pass(2250, ['a', 'b', 'd']);
      expect(proposed).toEqual([]);
      await pass(600, ['a', 'b', 'd']);
      expect(proposed).not.toEqual([]);
    });

    it('changes nothing while its replica does not lead', async () => {
      const { replica, proposed, pass } = createController();
      replica.serves = false;
      await pass(6000, ['a', 'b', 'd']);
      expect(proposed).toEqual([]);
    });
  });

  describe('with a store that is to be retired', () => {
    it('refuses it while too few others would remain', async () => {
      const { controller, proposed, pass } = createController();
      await pass(300, MEMBERS);
      expect(await controller.retire('a')).toEqual({ kind: 'done', value: 'too-few-stores' });
      expect(proposed).toEqual([]);
    });

    it('starts with a spare', async () => {
      const { controller, proposed, pass } = createController();
      await pass(300, [...MEMBERS, 'd']);
      expect(await controller.retire('a')).toEqual({ kind: 'done', value: 'running' });
      expect(proposed).toEqual([{ kind: 'retire', store: 'a', state: 'running' }]);
    });
  });
});
