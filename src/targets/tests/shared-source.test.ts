import { Metrics, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { NodeDirectory, type NodeInfo } from '../../cluster';
import type { RpcClient } from '../../rpc';
import { type ListedTarget, SharedTargetSource, type TargetListContract } from '..';
import type { TargetListAnswer } from '../shared-source';

const LISTED: ListedTarget = {
  id: 't1',
  service: 's',
  address: '10.0.0.1:80',
  availabilityZone: 'a',
  slots: 6,
  draining: false,
};

/** Gateways whose names begin with k have a replica of the cluster state. */
function gateway(name: string): NodeInfo {
  return {
    name,
    kind: 'gateway',
    address: name,
    availabilityZone: 'a',
    keepsClusterState: name.startsWith('k'),
    run: '1',
    dataLife: '',
  };
}

/** Gateways that share a clock and a platform list, each in the directories of the others. */
class Gateways {
  readonly clock = new ManualClock();
  /** Names of the gateways that read the platform's list, in order. */
  readonly reads: string[] = [];
  /** Gateways that do not answer calls. */
  readonly unresponsive = new Set<string>();
  /** Gateways that nobody is connected to. */
  readonly disconnected = new Set<string>();
  list: readonly ListedTarget[] = [LISTED];
  readonly answers: TargetListAnswer[] = [];
  readonly #sources = new Map<string, SharedTargetSource>();
  readonly #directories: NodeDirectory[] = [];
  readonly #names: readonly string[];

  constructor(names: readonly string[], callsPerSecond = 40) {
    this.#names = names;
    for (const name of names) {
      const directory = new NodeDirectory(this.clock);
      this.#directories.push(directory);
      const source = new SharedTargetSource({
        self: gateway(name),
        directory,
        source: {
          list: () => {
            this.reads.push(name);
            return Promise.resolve(this.list);
          },
        },
        peers: this.#caller,
        callsPerSecond,
        clock: this.clock,
        logger: createSilentLogger(),
        metrics: new Metrics(),
      });
      this.#sources.set(name, source);
    }
    this.refreshDirectories();
  }

  /** Adds each gateway to the directory of all others, where entries expire. */
  refreshDirectories(): void {
    for (const directory of this.#directories) {
      for (const name of this.#names) directory.recordReport(gateway(name));
    }
  }

  source(name: string): SharedTargetSource {
    const source = this.#sources.get(name);
    if (source === undefined) throw new Error(`unknown test gateway: ${name}`);
    return source;
  }

  get #caller(): Pick<RpcClient<TargetListContract>, 'call' | 'isConnected'> {
    return {
      isConnected: (address) => !this.disconnected.has(address),
      call: (address, name, request) => {
        const handler = this.source(address).calls[name];
        if (this.unresponsive.has(address) || handler === undefined) {
          return Promise.reject(new Error(`${address} does not answer`));
        }
        const answer = handler(request) as TargetListAnswer;
        this.answers.push(answer);
        return Promise.resolve(answer);
      },
    };
  }
}

describe('shared target list', () => {
  it('is read by the first gateway only and sent to the others', async () => {
    const gateways = new Gateways(['k1', 'k2', 'g3']);
    for (const name of ['k1', 'k2', 'g3', 'k2']) {
      expect(await gateways.source(name).list()).toEqual([LISTED]);
    }
    expect(gateways.reads).toEqual(['k1']);
  });

  it('is sent to the others after a change', async () => {
    const gateways = new Gateways(['k1', 'k2']);
    await gateways.source('k1').list();
    await gateways.source('k2').list();
    gateways.list = [{ ...LISTED, draining: true }];
    gateways.clock.advance(700);
    await gateways.source('k1').list();
    expect(await gateways.source('k2').list()).toEqual(gateways.list);
    expect(gateways.reads).toEqual(['k1', 'k1']);
  });

  it('is sent as changes to a gateway that has a previous list', async () => {
    const gateways = new Gateways(['k1', 'k2']);
    const others = ['t2', 't3'].map((id) => ({ ...LISTED, id }));
    gateways.list = [...others, LISTED];
    await gateways.source('k1').list();
    await gateways.source('k2').list();
    const draining = { ...LISTED, draining: true };
    gateways.list = [draining, ...others.slice(1)];
    gateways.clock.advance(700);
    await gateways.source('k1').list();
    const received = await gateways.source('k2').list();
    expect(received).toEqual([draining, { ...LISTED, id: 't3' }]);
    expect(gateways.answers.at(-1)).toMatchObject({
      kind: 'changes',
      changes: { gone: ['t2'], changed: [draining] },
    });
    expect(gateways.reads).toEqual(['k1', 'k1']);
  });

  it('is sent completely to a gateway whose list is no longer kept', async () => {
    const gateways = new Gateways(['k1', 'k2']);
    await gateways.source('k1').list();
    await gateways.source('k2').list();
    for (let slots = 7; slots < 20; slots += 1) {
      gateways.list = [{ ...LISTED, slots }];
      gateways.clock.advance(100);
      await gateways.source('k1').list();
    }
    expect(await gateways.source('k2').list()).toEqual(gateways.list);
    expect(gateways.answers.at(-1)).toMatchObject({ kind: 'list' });
  });

  it('is read by a gateway itself when the first does not answer', async () => {
    const gateways = new Gateways(['k1', 'k2']);
    gateways.unresponsive.add('k1');
    expect(await gateways.source('k2').list()).toEqual([LISTED]);
    expect(gateways.reads).toEqual(['k2']);
  });

  it('is not accepted from a gateway whose list is outdated', async () => {
    const gateways = new Gateways(['k1', 'k2']);
    await gateways.source('k1').list();
    gateways.clock.advance(1500);
    gateways.refreshDirectories();
    await gateways.source('k2').list();
    expect(gateways.reads).toEqual(['k1', 'k2']);
  });

  it('reports an age that includes the time at other gateways', async () => {
    const gateways = new Gateways(['k1', 'k2', 'g3']);
    await gateways.source('k1').list();
    gateways.clock.advance(800);
    gateways.refreshDirectories();
    await gateways.source('k2').list();
    gateways.unresponsive.add('k1');
    gateways.clock.advance(800);
    const answer = await gateways.source('k2').calls['targets.list']?.({ digest: '' });
    expect(answer).toMatchObject({ kind: 'list', ageMilliseconds: 1600 });
  });

  it('is read by the next gateway while the first is disconnected', async () => {
    const gateways = new Gateways(['k1', 'k2', 'g3']);
    gateways.disconnected.add('k1');
    for (const name of ['k2', 'g3']) expect(await gateways.source(name).list()).toEqual([LISTED]);
    expect(gateways.reads).toEqual(['k2']);
  });

  it('is not read by a gateway without a replica of the cluster state', async () => {
    const gateways = new Gateways(['g0', 'k1']);
    await gateways.source('k1').list();
    await gateways.source('g0').list();
    expect(gateways.reads).toEqual(['k1']);
  });

  it('is read within the shared rate limit while each gateway reads for itself', async () => {
    const gateways = new Gateways(['k1', 'k2', 'g3'], 5);
    gateways.unresponsive.add('k1');
    await gateways.source('k2').list();
    gateways.clock.advance(900);
    gateways.refreshDirectories();
    await gateways.source('k2').list();
    expect(gateways.reads).toEqual(['k2']);
    gateways.clock.advance(200);
    await gateways.source('k2').list();
    expect(gateways.reads).toEqual(['k2', 'k2']);
  });
});
