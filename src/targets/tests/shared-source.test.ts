import { Metrics, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { NodeDirectory, type NodeInfo } from '../../cluster';
import type { Caller } from '../../link';
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

/** Gateways whose names begin with k keep the cluster's state. */
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

/** Gateways with one clock that know of one another, before one list of the platform. */
class Gateways {
  readonly clock = new ManualClock();
  readonly readings: string[] = [];
  /** Gateways that answer nobody. */
  readonly silent = new Set<string>();
  /** Gateways to which no connection stands. */
  readonly lost = new Set<string>();
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
            this.readings.push(name);
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
    this.greet();
  }

  /** All know of all by hearsay, as those do who are greeted by nobody. */
  greet(): void {
    for (const directory of this.#directories) {
      for (const name of this.#names) directory.learn(gateway(name));
    }
  }

  source(name: string): SharedTargetSource {
    const source = this.#sources.get(name);
    if (source === undefined) throw new Error(`no gateway ${name}`);
    return source;
  }

  get #caller(): Pick<Caller<TargetListContract>, 'call' | 'isConnected'> {
    return {
      isConnected: (address) => !this.lost.has(address),
      call: (address, name, request) => {
        const handler = this.source(address).calls[name];
        if (this.silent.has(address) || handler === undefined) {
          return Promise.reject(new Error(`${address} does not answer`));
        }
        const answer = handler(request) as TargetListAnswer;
        this.answers.push(answer);
        return Promise.resolve(answer);
      },
    };
  }
}

describe('the list of targets that gateways share', () => {
  it('is read by the first of them alone, and told to the others', async () => {
    const gateways = new Gateways(['k1', 'k2', 'g3']);
    for (const name of ['k1', 'k2', 'g3', 'k2']) {
      expect(await gateways.source(name).list()).toEqual([LISTED]);
    }
    expect(gateways.readings).toEqual(['k1']);
  });

  it('is told again once it has changed', async () => {
    const gateways = new Gateways(['k1', 'k2']);
    await gateways.source('k1').list();
    await gateways.source('k2').list();
    gateways.list = [{ ...LISTED, draining: true }];
    gateways.clock.advance(700);
    await gateways.source('k1').list();
    expect(await gateways.source('k2').list()).toEqual(gateways.list);
    expect(gateways.readings).toEqual(['k1', 'k1']);
  });

  it('is told as what has changed to those who hold an earlier one', async () => {
    const gateways = new Gateways(['k1', 'k2']);
    const others = ['t2', 't3'].map((id) => ({ ...LISTED, id }));
    gateways.list = [...others, LISTED];
    await gateways.source('k1').list();
    await gateways.source('k2').list();
    const leaving = { ...LISTED, draining: true };
    gateways.list = [leaving, ...others.slice(1)];
    gateways.clock.advance(700);
    await gateways.source('k1').list();
    const taken = await gateways.source('k2').list();
    expect(taken).toEqual([leaving, { ...LISTED, id: 't3' }]);
    expect(gateways.answers.at(-1)).toMatchObject({
      kind: 'changes',
      changes: { gone: ['t2'], changed: [leaving] },
    });
    expect(gateways.readings).toEqual(['k1', 'k1']);
  });

  it('is told whole to those who hold one that is long gone', async () => {
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

  it('is read by each for itself where the first does not answer', async () => {
    const gateways = new Gateways(['k1', 'k2']);
    gateways.silent.add('k1');
    expect(await gateways.source('k2').list()).toEqual([LISTED]);
    expect(gateways.readings).toEqual(['k2']);
  });

  it('is not taken from one that has stopped reading', async () => {
    const gateways = new Gateways(['k1', 'k2']);
    await gateways.source('k1').list();
    gateways.clock.advance(1500);
    gateways.greet();
    await gateways.source('k2').list();
    expect(gateways.readings).toEqual(['k1', 'k2']);
  });

  it('counts the time that others have held it', async () => {
    const gateways = new Gateways(['k1', 'k2', 'g3']);
    await gateways.source('k1').list();
    gateways.clock.advance(800);
    gateways.greet();
    await gateways.source('k2').list();
    gateways.silent.add('k1');
    gateways.clock.advance(800);
    const answer = await gateways.source('k2').calls['targets.list']?.({ digest: '' });
    expect(answer).toMatchObject({ kind: 'list', ageMilliseconds: 1600 });
  });

  it('is read by the next one while the connection to the first is lost', async () => {
    const gateways = new Gateways(['k1', 'k2', 'g3']);
    gateways.lost.add('k1');
    for (const name of ['k2', 'g3']) expect(await gateways.source(name).list()).toEqual([LISTED]);
    expect(gateways.readings).toEqual(['k2']);
  });

  it('is not read for all by a gateway to which others need have no connection', async () => {
    const gateways = new Gateways(['g0', 'k1']);
    await gateways.source('k1').list();
    await gateways.source('g0').list();
    expect(gateways.readings).toEqual(['k1']);
  });

  it('is read within the rate of all while all read for themselves', async () => {
    const gateways = new Gateways(['k1', 'k2', 'g3'], 5);
    gateways.silent.add('k1');
    await gateways.source('k2').list();
    gateways.clock.advance(900);
    gateways.greet();
    await gateways.source('k2').list();
    expect(gateways.readings).toEqual(['k2']);
    gateways.clock.advance(200);
    await gateways.source('k2').list();
    expect(gateways.readings).toEqual(['k2', 'k2']);
  });
});
