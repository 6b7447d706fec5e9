import type { Heartbeat } from '../../protocol';
import { NodeRegistry } from '../registry';

const SESSION = 3000;
const LOAD = { running: 0, waiting: 0 };

function sidecar(extra: Partial<Heartbeat> = {}): Heartbeat {
  const base = { kind: 'sidecar', name: 'sidecar-a', incarnation: 'x', state: 'serving' } as const;
  return { ...base, configurationNumber: 1, target: 'engine-a', load: LOAD, ...extra };
}

function entry(extra: Partial<Heartbeat> = {}): Heartbeat {
  const base = { kind: 'entry', name: 'entry-1', incarnation: 'x', state: 'serving' } as const;
  return { ...base, configurationNumber: 1, ...extra };
}

describe('the registry of processes', () => {
  let registry: NodeRegistry;

  beforeEach(() => {
    registry = new NodeRegistry(SESSION);
    registry.reset(0);
  });

  describe('of targets', () => {
    it('tells only what changed since a version', () => {
      registry.hear(sidecar(), 10);
      registry.hear(sidecar({ name: 'sidecar-b', target: 'engine-b' }), 10);
      const { version } = registry;
      registry.hear(sidecar(), 20);
      expect(registry.targetsSince(version)).toEqual([]);
      registry.hear(sidecar({ state: 'leaving' }), 30);
      expect(registry.targetsSince(version)).toMatchObject([
        { target: 'engine-a', state: 'leaving' },
      ]);
    });

    it('passes small changes of load over', () => {
      registry.hear(sidecar({ load: { running: 5, waiting: 0 } }), 10);
      expect(registry.hear(sidecar({ load: { running: 7, waiting: 0 } }), 20)).toBe(false);
      expect(registry.hear(sidecar({ load: { running: 8, waiting: 0 } }), 30)).toBe(true);
    });

    it('counts a silent one as lost, but not before a new leader could have heard it', () => {
      expect(registry.expire(['engine-a'], SESSION)).toBe(false);
      registry.hear(sidecar(), SESSION);
      expect(registry.expire(['engine-a'], SESSION * 2)).toBe(false);
      expect(registry.expire(['engine-a'], SESSION * 2 + 1)).toBe(true);
      expect(registry.targetsSince(0)).toMatchObject([{ target: 'engine-a', state: 'lost' }]);
      expect(registry.expire(['engine-a'], SESSION * 3)).toBe(false);
    });
  });

  describe('of entries', () => {
    it('counts one as dead after a session time of silence, or when it has restarted', () => {
      registry.hear(entry(), 10);
      expect(registry.entryIsDead('entry-1/x', SESSION)).toBe(false);
      expect(registry.entryIsDead('entry-1/x', SESSION + 11)).toBe(true);
      registry.hear(entry({ incarnation: 'y' }), 20);
      expect(registry.entryIsDead('entry-1/x', 20)).toBe(true);
      expect(registry.entryIsDead('entry-1/y', 20)).toBe(false);
    });

    it('counts one as live that a new leader has not heard yet', () => {
      expect(registry.entryIsDead('entry-9/z', SESSION)).toBe(false);
      expect(registry.entryIsDead('entry-9/z', SESSION + 1)).toBe(true);
    });
  });

  describe("with hints from the platform's list", () => {
    function stateOf(target: string) {
      return registry.targetsSince(0).find((record) => record.target === target)?.state;
    }

    it('takes a target out while its sidecar still serves, and back once it is live again', () => {
      registry.hear(sidecar(), 10);
      expect(registry.hint(['engine-a'], [])).toBe(true);
      expect(stateOf('engine-a')).toBe('leaving');
      registry.hear(sidecar(), 20);
      expect(registry.hint(['engine-a'], [])).toBe(false);
      expect(stateOf('engine-a')).toBe('leaving');
      expect(registry.hint([], ['engine-a'])).toBe(true);
      expect(stateOf('engine-a')).toBe('serving');
    });

    it('keeps a target out that vanishes from the list, and proves no life by it', () => {
      registry.hear(sidecar(), 10);
      registry.hint(['engine-a'], []);
      expect(registry.hint([], [])).toBe(false);
      expect(stateOf('engine-a')).toBe('leaving');
      registry.expire(['engine-a'], SESSION * 3);
      expect(registry.hint([], ['engine-a'])).toBe(false);
      expect(stateOf('engine-a')).toBe('lost');
    });
  });
});
