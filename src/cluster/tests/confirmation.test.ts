import { createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { Caller } from '../../link';
import {
  type ClusterContract,
  Confirmation,
  Greeter,
  Newest,
  NodeDirectory,
  type NodeInfo,
  type StoreView,
  type VersionedConfiguration,
} from '..';

/** Lets promises settle. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe('a confirmation of the newest configuration', () => {
  const clock = new ManualClock();
  const confirmation = new Confirmation(clock);

  it('is as old as the question that was answered, not as the answer', () => {
    expect(confirmation.ageMilliseconds).toBe(Infinity);
    clock.advance(1000);
    confirmation.confirm(400);
    expect(confirmation.ageMilliseconds).toBe(600);
    confirmation.confirm(100);
    expect(confirmation.ageMilliseconds).toBe(600);
  });

  it('ages while the process is frozen', () => {
    clock.jump(5000);
    expect(confirmation.ageMilliseconds).toBe(5600);
  });

  describe('that is waited for', () => {
    it('comes with an answer to a later question only', async () => {
      const since = clock.monotonic();
      const waited = confirmation.confirmedSince(since, 500);
      confirmation.confirm(since - 1);
      expect(confirmation.waiting).toBe(1);
      confirmation.confirm(since);
      expect(await waited).toBe(true);
      expect(confirmation.waiting).toBe(0);
    });

    it('is given up in time', async () => {
      const waited = confirmation.confirmedSince(clock.monotonic() + 1, 500);
      clock.advance(500);
      expect(await waited).toBe(false);
    });
  });
});

describe('a process that greets', () => {
  const SELF: NodeInfo = {
    name: 'gateway',
    kind: 'gateway',
    address: '10.0.0.1:7000',
    availabilityZone: 'a',
    keepsClusterState: false,
    run: '1',
    dataLife: '',
  };
  const KEEPER: NodeInfo = { ...SELF, name: 'keeper', address: '10.0.0.2:7000' };
  const SLOW_MILLISECONDS = 40;

  /** Greets one keeper, which answers after 40 ms; `version` is what the keeper knows. */
  function greetOne(version: number, confirms: boolean | undefined, told = version) {
    const clock = new ManualClock();
    const confirmation = new Confirmation(clock);
    const configuration = new Newest<VersionedConfiguration>((value) => value.version);
    configuration.offer({ version: 3, text: '' });
    const answers: Readonly<Record<string, unknown>> = {
      'cluster.greet': {
        node: KEEPER,
        nodes: undefined,
        leader: undefined,
        configurationVersion: version,
        viewEpoch: 0,
        ...(confirms === undefined ? {} : { confirms }),
      },
      'cluster.configuration': { version: told, text: 'newer' },
    };
    const peers = {
      call: (_address: string, name: string) =>
        new Promise((resolve) => {
          clock.after(SLOW_MILLISECONDS, () => {
            resolve(answers[name]);
          });
        }),
      cast: () => undefined,
      isConnected: () => true,
    } as unknown as Caller<ClusterContract>;
    const greeter = new Greeter({
      self: SELF,
      status: () => ({ configurationVersion: 3, viewEpoch: 0, completeFor: 0 }),
      seeds: () => [KEEPER.address],
      directory: new NodeDirectory(clock),
      peers,
      clock,
      logger: createSilentLogger(),
      configuration,
      view: new Newest<StoreView>(({ epoch }) => epoch),
      confirmation,
    });
    greeter.start();
    greeter.stop();
    return { clock, confirmation };
  }

  it('is confirmed by a leader from the time of its question on', async () => {
    const { clock, confirmation } = greetOne(3, true);
    clock.advance(SLOW_MILLISECONDS);
    await settle();
    expect(confirmation.ageMilliseconds).toBe(SLOW_MILLISECONDS);
  });

  it('is not confirmed by a process that does not lead, or of a build that knows nothing of it', async () => {
    for (const confirms of [false, undefined]) {
      const { clock, confirmation } = greetOne(3, confirms);
      clock.advance(SLOW_MILLISECONDS);
      await settle();
      expect(confirmation.ageMilliseconds).toBe(Infinity);
    }
  });

  it('is confirmed of a newer configuration only once it has it', async () => {
    const { clock, confirmation } = greetOne(5, true);
    clock.advance(SLOW_MILLISECONDS);
    await settle();
    expect(confirmation.ageMilliseconds).toBe(Infinity);
    clock.advance(SLOW_MILLISECONDS);
    await settle();
    expect(confirmation.ageMilliseconds).toBe(2 * SLOW_MILLISECONDS);
  });

  it('is not confirmed where what it fetched is older than what was named', async () => {
    const { clock, confirmation } = greetOne(5, true, 4);
    for (let step = 0; step < 2; step += 1) {
      clock.advance(SLOW_MILLISECONDS);
      await settle();
    }
    expect(confirmation.ageMilliseconds).toBe(Infinity);
  });
});
