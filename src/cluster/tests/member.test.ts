import { SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/disk';
import {
  ClusterMember,
  Founding,
  Newest,
  NodeDirectory,
  type StoreView,
  type VersionedConfiguration,
} from '..';

const STEP_MILLISECONDS = 50;

/** Ten seconds of steps, ten times what an election takes. */
const STEP_LIMIT = 200;

class MemberFixture {
  readonly clock = new ManualClock();
  readonly disk = new MemoryDisk();
  readonly configuration = new Newest<VersionedConfiguration>(({ version }) => version);
  readonly member: ClusterMember;
  readonly #founding: Founding;

  constructor(toleratedLosses: number) {
    const { clock, disk, configuration } = this;
    const logger = createSilentLogger();
    const peers = {
      call: () => Promise.reject(new Error('nobody else is there')),
      cast: () => undefined,
      isConnected: () => false,
    };
    const address = '10.0.0.1:7000';
    const seeds = () => [address];
    const parts = { peers, clock, logger };
    this.#founding = new Founding({ ...parts, self: 'g', address, isFirstStart: true, seeds });
    this.member = new ClusterMember({
      ...parts,
      self: {
        name: 'g',
        kind: 'gateway',
        address,
        availabilityZone: 'a',
        keepsClusterState: true,
        run: '',
        dataLife: '',
      },
      toleratedLosses,
      directory: new NodeDirectory(clock),
      founding: this.#founding,
      openStore: () => new SegmentedStore({ folder: '/cluster', fileSystem: disk.mount() }),
      random: new SeededRandom(1),
      configuration,
      view: new Newest<StoreView>(({ epoch }) => epoch),
    });
  }

  async start(): Promise<void> {
    await this.member.start();
    await this.#founding.ask();
    await this.untilServing();
  }

  /** Moves time on until the member leads. */
  async untilServing(): Promise<void> {
    for (let step = 0; step < STEP_LIMIT; step += 1) {
      if (this.member.serves) return;
      await this.step();
    }
    throw new Error('the member does not lead');
  }

  async step(): Promise<void> {
    this.clock.advance(STEP_MILLISECONDS);
    await new Promise((resolve) => setImmediate(resolve));
  }

  configure(version: number) {
    return this.member.propose({ kind: 'configure', version, text: `text ${version}` });
  }
}

describe('a copy of the cluster state', () => {
  describe('before enough copies exist to outlast the tolerated losses', () => {
    it('acknowledges nothing', async () => {
      const fixture = new MemberFixture(1);
      await fixture.start();
      expect(await fixture.configure(1)).toMatchObject({ kind: 'not-now' });
      expect(fixture.configuration.value).toBeUndefined();
    });
  });

  describe('whose disk refuses writes for a while', () => {
    it('acknowledges nothing meanwhile, and goes on afterwards with what it had', async () => {
      const fixture = new MemberFixture(0);
      await fixture.start();
      expect(await fixture.configure(1)).toEqual({ kind: 'done', value: 'changed' });
      fixture.disk.full = true;
      expect(await fixture.configure(2)).toMatchObject({ kind: 'not-now' });
      expect(fixture.member.serves).toBe(false);
      for (let step = 0; step < 100; step += 1) await fixture.step();
      fixture.disk.full = false;
      await fixture.untilServing();
      expect(fixture.member.machine.configuration?.version).toBe(1);
      expect(await fixture.configure(3)).toEqual({ kind: 'done', value: 'changed' });
    });
  });
});
