import { type KnownNode, type StoreView, type ViewPlanInput, planView } from '..';

interface StoreFacts {
  readonly zone?: string;
  readonly life?: string;
  readonly completeFor?: number;
  readonly epoch?: number;
  readonly address?: string;
}

function store(name: string, facts: StoreFacts = {}): KnownNode {
  const { zone = name, life = 'life', completeFor = 1, epoch = 1, address = name } = facts;
  return {
    node: {
      name,
      kind: 'store',
      address,
      availabilityZone: zone,
      keepsClusterState: false,
      run: '',
      dataLife: life,
    },
    status: { configurationVersion: 0, viewEpoch: epoch, completeFor },
    heardAt: 0,
  };
}

const VIEW: StoreView = {
  epoch: 1,
  quorum: 2,
  members: ['a', 'b', 'c'].map((name) => ({
    name,
    address: name,
    availabilityZone: name,
    dataLife: 'life',
    joined: 1,
  })),
};

function plan(input: Partial<ViewPlanInput>) {
  return planView({
    view: VIEW,
    toleratedLosses: 1,
    stores: ['a', 'b', 'c'].map((name) => store(name)),
    retirements: new Map(),
    silenceCounts: true,
    ...input,
  });
}

function membersOf(step: ReturnType<typeof plan>): readonly string[] | undefined {
  return step?.kind === 'view' ? step.view.members.map(({ name }) => name) : undefined;
}

describe('the plan of the stores in use', () => {
  describe('at the beginning', () => {
    it('waits for one more store than a quorum can lose', () => {
      expect(plan({ view: undefined, stores: [store('a'), store('b')] })).toBeUndefined();
    });

    it('spreads the stores over the zones', () => {
      const stores = [
        store('a1', { zone: 'a' }),
        store('a2', { zone: 'a' }),
        store('b1', { zone: 'b' }),
        store('c1', { zone: 'c' }),
      ];
      expect(membersOf(plan({ view: undefined, stores }))).toEqual(['a1', 'b1', 'c1']);
    });
  });

  describe('with all stores there', () => {
    it('changes nothing', () => {
      expect(plan({})).toBeUndefined();
    });

    it('leaves an added store as a spare', () => {
      expect(plan({ stores: ['a', 'b', 'c', 'd'].map((name) => store(name)) })).toBeUndefined();
    });
  });

  describe('with a silent store', () => {
    const others = [store('b'), store('c')];

    it('waits while nobody can take its place', () => {
      expect(plan({ stores: others })).toBeUndefined();
    });

    it('takes in a spare in its place', () => {
      const step = plan({ stores: [...others, store('d')] });
      expect(membersOf(step)).toEqual(['d', 'b', 'c']);
      expect(step).toMatchObject({ view: { epoch: 2, members: [{ joined: 2 }, {}, {}] } });
    });

    it('does not take silence for absence when the leader is new', () => {
      expect(plan({ stores: [...others, store('d')], silenceCounts: false })).toBeUndefined();
    });

    it('keeps it while the others could not fill its successor', () => {
      const filling = store('c', { completeFor: 0 });
      expect(plan({ stores: [store('b'), filling, store('d')] })).toBeUndefined();
    });
  });

  describe('with a store that came back without its disk', () => {
    it('takes it in as a new one', () => {
      const stores = [store('a', { life: 'other', completeFor: 0 }), store('b'), store('c')];
      const step = plan({ stores });
      expect(step).toMatchObject({
        kind: 'view',
        view: { epoch: 2, members: [{ name: 'a', dataLife: 'other', joined: 2 }, {}, {}] },
      });
    });
  });

  describe('with a store that has another address', () => {
    it('keeps what it holds', () => {
      const stores = [store('a', { address: 'a2' }), store('b'), store('c')];
      const step = plan({ stores });
      expect(step).toMatchObject({ view: { members: [{ address: 'a2', joined: 1 }, {}, {}] } });
    });
  });

  describe('with a store that is to leave', () => {
    const retirements = new Map([['a', 'running' as const]]);

    it('waits for a spare', () => {
      expect(plan({ retirements })).toBeUndefined();
    });

    it('puts a spare in its place', () => {
      const stores = ['a', 'b', 'c', 'd'].map((name) => store(name));
      expect(membersOf(plan({ retirements, stores }))).toEqual(['d', 'b', 'c']);
    });

    it('is done only once its successor holds everything', () => {
      const [, b, c] = VIEW.members;
      const d = { ...b, name: 'd', address: 'd', joined: 2 } as StoreView['members'][number];
      const view = { ...VIEW, epoch: 2, members: [d, b, c] as StoreView['members'] };
      const rest = [store('b', { epoch: 2 }), store('c', { epoch: 2 })];
      const filling = store('d', { epoch: 2, completeFor: 0 });
      expect(plan({ view, retirements, stores: [...rest, filling] })).toBeUndefined();
      const filled = store('d', { epoch: 2, completeFor: 2 });
      const step = plan({ view, retirements, stores: [...rest, filled] });
      expect(step).toEqual({ kind: 'retired', store: 'a' });
    });
  });
});
