import { createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { RpcClient } from '../../rpc';
import {
  type ClusterContract,
  LeaderConfirmation,
  HeartbeatSender,
  LatestValue,
  NodeDirectory,
  type NodeInfo,
  type StoreView,
  type VersionedConfiguration,
} from '..';

function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe('LeaderConfirmation', () => {
  const clock = new ManualClock();
  const confirmation = new LeaderConfirmation(clock);

  it('measures the age from the time of the request, not of the response', () => {
    expect(confirmation.ageMilliseconds).toBe(Infinity);
    clock.advance(1000);
    confirmation.confirm(400);
    expect(confirmation.ageMilliseconds).toBe(600);
    confirmation.confirm(100);
    expect(confirmation.ageMilliseconds).toBe(600);
  });

  it('includes the time of a suspension of the process in the age', () => {
    clock.jump(5000);
    expect(confirmation.ageMilliseconds).toBe(5600);
  });

  describe('a wait for a confirmation', () => {
    it('resolves with true only for a request sent at or after the given time', async () => {
      const since = clock.monotonic();
      const waited = confirmation.waitForConfirmation(since, 500);
      confirmation.confirm(since - 1);
      expect(confirmation.waiterCount).toBe(1);
      confirmation.confirm(since);
      expect(await waited).toBe(true);
      expect(confirmation.waiterCount).toBe(0);
    });

    it('resolves with false at the timeout', async () => {
      const waited = confirmation.waitForConfirmation(clock.monotonic() + 1, 500);
      clock.advance(500);
      expect(await waited).toBe(false);
    });
  });
});

describe('a heartbeat of a process without a replica', () => {
  const SELF: NodeInfo = {
    name: 'gateway',
    kind: 'gateway',
    address: '10.0.0.1:7000',
    availabilityZone: 'a',
    keepsClusterState: false,
    run: '1',
    dataLife: '',
  };
  const REPLICA: NodeInfo = { ...SELF, name: 'replica', address: '10.0.0.2:7000' };
  const RESPONSE_DELAY_MILLISECONDS = 40;

  /**
   * Sends one heartbeat to a replica that reports `version` and serves the configuration `fetched`.
   */
  function sendHeartbeat(version: number, confirms: boolean | undefined, fetched = version) {
    const clock = new ManualClock();
    const confirmation = new LeaderConfirmation(clock);
    const configuration = new LatestValue<VersionedConfiguration>((value) => value.version);
    configuration.offer({ version: 3, text: '' });
    const answers: Readonly<Record<string, unknown>> = {
      'cluster.greet': {
        node: REPLICA,
        nodes: undefined,
        leader: undefined,
        configurationVersion: version,
        viewEpoch: 0,
        ...(confirms === undefined ? {} : { confirms }),
      },
      'cluster.configuration': { version: fetched, text: 'newer' },
    };
    const peers = {
      call: (_address: string, name: string) =>
        new Promise((resolve) => {
          clock.after(RESPONSE_DELAY_MILLISECONDS, () => {
            resolve(answers[name]);
          });
        }),
      cast: () => undefined,
      isConnected: () => true,
    } as unknown as RpcClient<ClusterContract>;
    const sender = new HeartbeatSender({
      self: SELF,
      status: () => ({ configurationVersion: 3, viewEpoch: 0, completeFor: 0 }),
      seeds: () => [REPLICA.address],
      directory: new NodeDirectory(clock),
      peers,
      clock,
      logger: createSilentLogger(),
      configuration,
      view: new LatestValue<StoreView>(({ epoch }) => epoch),
      confirmation,
    });
    sender.start();
    sender.stop();
    return { clock, confirmation };
  }

  it('is confirmed by the leader as of the time it was sent', async () => {
    const { clock, confirmation } = sendHeartbeat(3, true);
    clock.advance(RESPONSE_DELAY_MILLISECONDS);
    await settlePromises();
    expect(confirmation.ageMilliseconds).toBe(RESPONSE_DELAY_MILLISECONDS);
  });

  it('is not confirmed by a process that does not lead or that omits `confirms`', async () => {
    for (const confirms of [false, undefined]) {
      const { clock, confirmation } = sendHeartbeat(3, confirms);
      clock.advance(RESPONSE_DELAY_MILLISECONDS);
      await settlePromises();
      expect(confirmation.ageMilliseconds).toBe(Infinity);
    }
  });

  it('is confirmed only after a newer configuration has been fetched', async () => {
    const { clock, confirmation } = sendHeartbeat(5, true);
    clock.advance(RESPONSE_DELAY_MILLISECONDS);
    await settlePromises();
    expect(confirmation.ageMilliseconds).toBe(Infinity);
    clock.advance(RESPONSE_DELAY_MILLISECONDS);
    await settlePromises();
    expect(confirmation.ageMilliseconds).toBe(2 * RESPONSE_DELAY_MILLISECONDS);
  });

  it('is not confirmed if the fetched configuration is older than the reported version', async () => {
    const { clock, confirmation } = sendHeartbeat(5, true, 4);
    for (let step = 0; step < 2; step += 1) {
      clock.advance(RESPONSE_DELAY_MILLISECONDS);
      await settlePromises();
    }
    expect(confirmation.ageMilliseconds).toBe(Infinity);
  });
});
