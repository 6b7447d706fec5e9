import { digestFiles, type SourceFile } from '../../configuration';
import { createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { ConfigurationStateMachine } from '../../state';
import { filesWithBudget } from '../../state/tests/state-machine-fixture';
import { ChangeNotifier } from '../change-notifier';
import { LeavingHosts } from '../leaving-hosts';
import { NodeRegistry } from '../node-registry';

const SESSION_MILLISECONDS = 3000;

/** A control host's copy of the state, whose log commits each entry at once, or refuses it. */
class ControlHostFixture {
  readonly registry = new NodeRegistry(SESSION_MILLISECONDS);
  readonly entries: string[] = [];
  readonly leavingHosts: LeavingHosts;
  isLeader = true;
  readonly #machine: ConfigurationStateMachine;

  constructor(entries: readonly string[] = []) {
    this.#machine = new ConfigurationStateMachine(() => {
      this.leavingHosts.publish();
    });
    this.leavingHosts = new LeavingHosts({
      log: { propose: (entry) => this.#propose(entry) },
      machine: this.#machine,
      registry: this.registry,
      notifier: new ChangeNotifier(new ManualClock()),
      logger: createSilentLogger(),
    });
    for (const entry of entries) this.#machine.apply(entry);
    this.registry.reset(0);
    this.leavingHosts.publish();
  }

  accept(files: readonly SourceFile[], number: number): void {
    void this.#propose(JSON.stringify({ number, digest: digestFiles(files), files }));
  }

  heartbeat(target: string): void {
    const base = { kind: 'sidecar', incarnation: 'x', state: 'serving' } as const;
    const load = { running: 0, waiting: 0 };
    this.registry.recordHeartbeat(
      { ...base, name: `sidecar-${target}`, configurationNumber: 1, target, load },
      10,
    );
  }

  stateOf(target: string): string | undefined {
    return this.registry.targetsSince(0).find((record) => record.target === target)?.state;
  }

  get recorded(): readonly string[] {
    return this.#machine.leavingHosts;
  }

  #propose(entry: string) {
    if (!this.isLeader) return Promise.reject(new Error('this member is not the leader'));
    this.entries.push(entry);
    return Promise.resolve(this.#machine.apply(entry));
  }
}

describe('LeavingHosts', () => {
  let host: ControlHostFixture;

  beforeEach(() => {
    host = new ControlHostFixture();
    host.accept(filesWithBudget(100, 10), 1);
  });

  describe('after a change of leader', () => {
    // Guards against a new leader that publishes a leaving target as serving.
    it('are known before the host list was read and before the first heartbeat', async () => {
      await host.leavingHosts.update(['engine-a'], ['engine-b']);
      const next = new ControlHostFixture(host.entries);
      next.heartbeat('engine-a');
      next.heartbeat('engine-b');
      expect(next.stateOf('engine-a')).toBe('leaving');
      expect(next.stateOf('engine-b')).toBe('serving');
      await next.leavingHosts.update([], ['engine-a']);
      expect(next.stateOf('engine-a')).toBe('serving');
    });
  });

  describe('an unchanged list', () => {
    it('writes no log entry, and neither do hosts without a configured target', async () => {
      await host.leavingHosts.update(['engine-a', 'elsewhere'], ['engine-b']);
      const { length } = host.entries;
      await host.leavingHosts.update(['engine-a', 'elsewhere'], ['engine-b']);
      await host.leavingHosts.update([], []);
      expect(host.entries).toHaveLength(length);
      expect(host.recorded).toEqual(['engine-a']);
    });
  });

  describe('a write that fails', () => {
    it('is repeated at the next read', async () => {
      host.isLeader = false;
      await host.leavingHosts.update(['engine-a'], []);
      expect(host.recorded).toEqual([]);
      host.isLeader = true;
      await host.leavingHosts.update(['engine-a'], []);
      expect(host.recorded).toEqual(['engine-a']);
    });
  });
});
