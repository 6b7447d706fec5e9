import { ManualClock } from '../../core/tests/manual-clock';
import { NodeDirectory, type NodeInfo, type NodeKind } from '..';

const STATUS = { configurationVersion: 1, viewEpoch: 1, completeFor: 0 };

function describeNode(name: string, kind: NodeKind, run = 'run-1'): NodeInfo {
  const address = `10.0.0.1:${name.length}`;
  const node = { name, kind, address, run, availabilityZone: 'zone-a', dataLife: 'd' };
  return { ...node, keepsClusterState: false };
}

describe('NodeDirectory', () => {
  let clock: ManualClock;
  let directory: NodeDirectory;

  const names = () => directory.all().map(({ node }) => node.name);
  const gatewayNames = () => directory.ofKind('gateway').map(({ node }) => node.name);

  beforeEach(() => {
    clock = new ManualClock();
    directory = new NodeDirectory(clock);
    directory.recordHeartbeat(describeNode('gateway-1', 'gateway'), STATUS);
    directory.recordHeartbeat(describeNode('store-1', 'store'), STATUS);
  });

  it('lists a node that was recorded after the last read', () => {
    expect(gatewayNames()).toEqual(['gateway-1']);
    directory.recordReport(describeNode('gateway-2', 'gateway'));
    expect(gatewayNames()).toEqual(['gateway-1', 'gateway-2']);
    expect(names()).toEqual(['gateway-1', 'store-1', 'gateway-2']);
  });

  it('lists the newest run of a node that was listed before', () => {
    expect(directory.ofKind('gateway')[0]?.node.run).toBe('run-1');
    directory.recordHeartbeat(describeNode('gateway-1', 'gateway', 'run-2'), STATUS);
    expect(directory.ofKind('gateway')[0]?.node.run).toBe('run-2');
  });

  it('removes each node 10 s after its own last heartbeat, also from the digest', () => {
    clock.advance(4000);
    directory.recordHeartbeat(describeNode('store-1', 'store'), STATUS);
    clock.advance(6000);
    const digest = directory.digest;
    expect(names()).toEqual(['gateway-1', 'store-1']);
    clock.advance(1);
    expect(gatewayNames()).toEqual([]);
    expect(names()).toEqual(['store-1']);
    expect(directory.digest).not.toBe(digest);
    clock.advance(4000);
    expect(names()).toEqual([]);
  });

  it('does not count reports of other nodes as heartbeats', () => {
    const responsive = () => directory.withHeartbeatWithin(1500).map(({ node }) => node.name);
    directory.recordReport(describeNode('store-2', 'store'));
    expect(responsive()).toEqual(['gateway-1', 'store-1']);
    clock.advance(2001);
    directory.recordReport(describeNode('store-1', 'store', 'run-2'));
    expect(responsive()).toEqual([]);
  });

  it('keeps a node whose heartbeat arrives before it would expire', () => {
    clock.advance(9999);
    expect(names()).toEqual(['gateway-1', 'store-1']);
    directory.recordHeartbeat(describeNode('gateway-1', 'gateway'), STATUS);
    clock.advance(9000);
    expect(names()).toEqual(['gateway-1']);
  });
});
