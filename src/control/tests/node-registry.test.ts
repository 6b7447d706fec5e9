import type { Heartbeat } from '../../protocol';
import { NodeRegistry } from '../node-registry';

const SESSION_MILLISECONDS = 3000;
const LOAD = { running: 0, waiting: 0 };

function sidecar(extra: Partial<Heartbeat> = {}): Heartbeat {
  const base = { kind: 'sidecar', name: 'sidecar-a', incarnation: 'x', state: 'serving' } as const;
  return { ...base, configurationNumber: 1, target: 'engine-a', load: LOAD, ...extra };
}

function entry(extra: Partial<Heartbeat> = {}): Heartbeat {
  const base = { kind: 'entry', name: 'entry-1', incarnation: 'x', state: 'serving' } as const;
  return { ...base, configurationNumber: 1, ...extra };
}

describe('NodeRegistry', () => {
  let registry: NodeRegistry;

  beforeEach(() => {
    registry = new NodeRegistry(SESSION_MILLISECONDS);
    registry.reset(0);
  });

  describe('targets', () => {
    it('returns only the targets whose records changed since a version', () => {
      registry.recordHeartbeat(sidecar(), 10);
      registry.recordHeartbeat(sidecar({ name: 'sidecar-b', target: 'engine-b' }), 10);
      const { version } = registry;
      registry.recordHeartbeat(sidecar(), 20);
      expect(registry.targetsSince(version)).toEqual([]);
      registry.recordHeartbeat(sidecar({ state: 'leaving' }), 30);
      expect(registry.targetsSince(version)).toMatchObject([
        { target: 'engine-a', state: 'leaving' },
      ]);
    });

    it('does not publish load changes within a power of two', () => {
      registry.recordHeartbeat(sidecar({ load: { running: 5, waiting: 0 } }), 10);
      expect(registry.recordHeartbeat(sidecar({ load: { running: 7, waiting: 0 } }), 20)).toBe(
        false,
      );
      expect(registry.recordHeartbeat(sidecar({ load: { running: 8, waiting: 0 } }), 30)).toBe(
        true,
      );
    });

    it('marks a target without heartbeats as lost, but only after the grace period', () => {
      expect(registry.markLost(['engine-a'], SESSION_MILLISECONDS)).toBe(false);
      registry.recordHeartbeat(sidecar(), SESSION_MILLISECONDS);
      expect(registry.markLost(['engine-a'], SESSION_MILLISECONDS * 2)).toBe(false);
      expect(registry.markLost(['engine-a'], SESSION_MILLISECONDS * 2 + 1)).toBe(true);
      expect(registry.targetsSince(0)).toMatchObject([{ target: 'engine-a', state: 'lost' }]);
      expect(registry.markLost(['engine-a'], SESSION_MILLISECONDS * 3)).toBe(false);
    });
  });

  describe('entries', () => {
    it('are dead after a session timeout without heartbeats, or after a restart', () => {
      registry.recordHeartbeat(entry(), 10);
      expect(registry.isEntryDead('entry-1/x', SESSION_MILLISECONDS)).toBe(false);
      expect(registry.isEntryDead('entry-1/x', SESSION_MILLISECONDS + 11)).toBe(true);
      registry.recordHeartbeat(entry({ incarnation: 'y' }), 20);
      expect(registry.isEntryDead('entry-1/x', 20)).toBe(true);
      expect(registry.isEntryDead('entry-1/y', 20)).toBe(false);
    });

    it('without a session are live during the grace period of a new leader', () => {
      expect(registry.isEntryDead('entry-9/z', SESSION_MILLISECONDS)).toBe(false);
      expect(registry.isEntryDead('entry-9/z', SESSION_MILLISECONDS + 1)).toBe(true);
    });
  });

  describe("the platform's host list", () => {
    function stateOf(target: string) {
      return registry.targetsSince(0).find((record) => record.target === target)?.state;
    }

    it('marks a target leaving despite its sidecar, until its host is live again', () => {
      registry.recordHeartbeat(sidecar(), 10);
      expect(registry.applyHostList(['engine-a'], [])).toBe(true);
      expect(stateOf('engine-a')).toBe('leaving');
      registry.recordHeartbeat(sidecar(), 20);
      expect(registry.applyHostList(['engine-a'], [])).toBe(false);
      expect(stateOf('engine-a')).toBe('leaving');
      expect(registry.applyHostList([], ['engine-a'])).toBe(true);
      expect(stateOf('engine-a')).toBe('serving');
    });

    it('keeps a target leaving when its host is no longer listed, and a lost target lost', () => {
      registry.recordHeartbeat(sidecar(), 10);
      registry.applyHostList(['engine-a'], []);
      expect(registry.applyHostList([], [])).toBe(false);
      expect(stateOf('engine-a')).toBe('leaving');
      registry.markLost(['engine-a'], SESSION_MILLISECONDS * 3);
      expect(registry.applyHostList([], ['engine-a'])).toBe(false);
      expect(stateOf('engine-a')).toBe('lost');
    });
  });
});
