import { type KnownNode, type StoreView, type ViewPlanInput, planView } from '..';

interface StoreOptions {
  readonly zone?: string;
  readonly dataLife?: string;
  readonly completeFor?: number;
  readonly epoch?: number;
  readonly address?: string;
}

function store(name: string, options: StoreOptions = {}): KnownNode {
  const {
    zone = name,
    dataLife = 'incarnation-1',
    completeFor = 1,
    epoch = 1,
    address = name,
  } = options;
  return {
    node: {
      name,
      kind: 'store',
      address,
      availabilityZone: zone,
      keepsClusterState: false,
      run: '',
      dataLife,
    },
    status: { configurationVersion: 0, viewEpoch: epoch, completeFor },
    lastSeenAt: 0,
  };
}

const VIEW: StoreView = {
  epoch: 1,
  quorum: 2,
  members: ['a', 'b', 'c'].map((name) => ({
    name,
    address: name,
    availabilityZone: name,
    dataLife: 'incarnation-1',
    joined: 1,
  })),
};

function plan(input: Partial<ViewPlanInput>) {
  return planView({
    view: VIEW,
    toleratedLosses: 1,
    stores: ['a', 'b', 'c'].map((name) => store(name)),
    retirements: new Map(),
    failureDetectionActive: true,
    ...input,
  });
}

function membersOf(step: ReturnType<typeof plan>): readonly string[] | undefined {
  return step?.kind === 'view' ? step.view.members.map(({ name }) => name) : undefined;
}

describe('planView', () => {
  describe('without a view', () => {
    it('plans nothing with fewer stores than the tolerated losses require', () => {
      expect(plan({ view: undefined, stores: [store('a'), store('b')] })).toBeUndefined();
    });

    it('spreads the members over the availability zones', () => {
      const stores = [
        store('a1', { zone: 'a' }),
        store('a2', { zone: 'a' }),
        store('b1', { zone: 'b' }),
        store('c1', { zone: 'c' }),
      ];
      expect(membersOf(plan({ view: undefined, stores }))).toEqual(['a1', 'b1', 'c1']);
    });
  });

  describe('with all members responsive', () => {
    it('changes nothing', () => {
      expect(plan({})).toBeUndefined();
    });

    it('keeps an additional store as a spare', () => {
      expect(plan({ stores: ['a', 'b', 'c', 'd'].map((name) => store(name)) })).toBeUndefined();
    });
  });

  describe('with an unresponsive member', () => {
    const others = [store('b'), store('c')];

    it('changes nothing without a spare', () => {
      expect(plan({ stores: others })).toBeUndefined();
    });

    it('replaces it with a spare', () => {
      const step = plan({ stores: [...others, store('d')] });
      expect(membersOf(step)).toEqual(['d', 'b', 'c']);
      expect(step).toMatchObject({ view: { epoch: 2, members: [{ joined: 2 }, {}, {}] } });
    });

    it('changes nothing while failure detection is inactive', () => {
      expect(
        plan({ stores: [...others, store('d')], failureDetectionActive: false }),
      ).toBeUndefined();
    });

    it('keeps it while fewer than a quorum of the other members are complete', () => {
      const incomplete = store('c', { completeFor: 0 });
      expect(plan({ stores: [store('b'), incomplete, store('d')] })).toBeUndefined();
    });
  });

  describe('with a member that lost its disk', () => {
    it('readmits it at a new joining epoch', () => {
      const stores = [store('a', { dataLife: 'other', completeFor: 0 }), store('b'), store('c')];
      const step = plan({ stores });
      expect(step).toMatchObject({
        kind: 'view',
        view: { epoch: 2, members: [{ name: 'a', dataLife: 'other', joined: 2 }, {}, {}] },
      });
    });
  });

  describe('with a member that changed its address', () => {
    it('updates the address and keeps the joining epoch', () => {
      const stores = [store('a', { address: 'a2' }), store('b'), store('c')];
      const step = plan({ stores });
      expect(step).toMatchObject({ view: { members: [{ address: 'a2', joined: 1 }, {}, {}] } });
    });
  });

  describe('with a retiring member', () => {
    const retirements = new Map([['a', 'running' as const]]);

    it('changes nothing without a spare', () => {
      expect(plan({ retirements })).toBeUndefined();
    });

    it('replaces it with a spare', () => {
      const stores = ['a', 'b', 'c', 'd'].map((name) => store(name));
      expect(membersOf(plan({ retirements, stores }))).toEqual(['d', 'b', 'c']);
    });

    it('is not replaced by another retiring store', () => {
      const stores = ['a', 'b', 'c', 'd'].map((name) => store(name));
      const both = new Map([...retirements, ['d', 'running' as const]]);
      expect(membersOf(plan({ retirements: both, stores }))).toBeUndefined();
    });

    it('completes the retirement only after all members know the view', () => {
      const [, b, c] = VIEW.members;
      const d = { ...b, name: 'd', address: 'd', joined: 2 } as StoreView['members'][number];
      const view = { ...VIEW, epoch: 2, members: [d, b, c] as StoreView['members'] };
      const complete = store('d', { epoch: 2, completeFor: 2 });
      const outdated = [store('b', { epoch: 2 }), store('c', { epoch: 1 })];
      expect(plan({ view, retirements, stores: [...outdated, complete] })).toBeUndefined();
    });

    it('completes the retirement only after the replacement is complete', () => {
      const [, b, c] = VIEW.members;
      const d = { ...b, name: 'd', address: 'd', joined: 2 } as StoreView['members'][number];
      const view = { ...VIEW, epoch: 2, members: [d, b, c] as StoreView['members'] };
      const rest = [store('b', { epoch: 2 }), store('c', { epoch: 2 })];
      const incomplete = store('d', { epoch: 2, completeFor: 0 });
      expect(plan({ view, retirements, stores: [...rest, incomplete] })).toBeUndefined();
      const complete = store('d', { epoch: 2, completeFor: 2 });
      const step = plan({ view, retirements, stores: [...rest, complete] });
      expect(step).toEqual({ kind: 'retired', store: 'a' });
    });
  });
});
