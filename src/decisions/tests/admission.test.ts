import { type Learned, admitTurn, preparationTime, refuseWithoutTarget } from '..';

const CHAIN: Learned<readonly string[] | undefined> = { kind: 'known', value: ['turn'] };
const FITS: Learned<boolean> = { kind: 'known', value: true };
const UNAVAILABLE = { kind: 'unavailable', reason: 'too few stores answer' } as const;

describe('the admission of a turn', () => {
  it('hands over what it continues', () => {
    const admission = admitTurn({ chain: CHAIN, fitsBudget: FITS, reachesQuorum: true });
    expect(admission).toEqual({ kind: 'admitted', chain: ['turn'] });
  });

  const ABSENT: Learned<readonly string[] | undefined> = { kind: 'known', value: undefined };
  const TOO_MUCH: Learned<boolean> = { kind: 'known', value: false };

  it.each([
    ['404 only where it is certain that the turn does not exist', ABSENT, FITS, 404],
    ['503 where nobody can tell', UNAVAILABLE, FITS, 503],
    ['402 where it does not fit in the budget', CHAIN, TOO_MUCH, 402],
    ['503 where the budget is not known', CHAIN, UNAVAILABLE, 503],
    ['503 where neither is known', UNAVAILABLE, UNAVAILABLE, 503],
  ] as const)('refuses with %s', (_why, chain, fitsBudget, status) => {
    const admission = admitTurn<readonly string[]>({ chain, fitsBudget, reachesQuorum: true });
    expect(admission).toMatchObject({ kind: 'refused', refusal: { status } });
  });

  it('waits for stores only while a quorum is reached, and says when to come back', () => {
    expect(preparationTime(false)).toBeLessThan(50);
    expect(preparationTime(true)).toBe(1500);
    const parts = { chain: UNAVAILABLE, fitsBudget: FITS };
    const near = admitTurn({ ...parts, reachesQuorum: true });
    const far = admitTurn({ ...parts, reachesQuorum: false });
    expect(near).toMatchObject({ refusal: { retryAfterSeconds: 0.3 } });
    expect(far).toMatchObject({ refusal: { retryAfterSeconds: 1 } });
  });
});

describe('the refusal of a request that no target took', () => {
  it('asks for the time in which the least loaded target works off what waits there', () => {
    const targets = [
      { load: 12, slots: 6 },
      { load: 9, slots: 6 },
    ];
    expect(refuseWithoutTarget('s', targets, 600)).toMatchObject({ status: 503, code: 'not_run' });
    expect(refuseWithoutTarget('s', targets, 600).retryAfterSeconds).toBeCloseTo(0.3);
  });

  it('asks for longer where requests take longer', () => {
    const targets = [{ load: 9, slots: 6 }];
    expect(refuseWithoutTarget('s', targets, 1200).retryAfterSeconds).toBeCloseTo(0.6);
  });

  it('asks for a tenth of a second at least, and for a second at most', () => {
    const pauseFor = (load: number) =>
      refuseWithoutTarget('s', [{ load, slots: 6 }], 600).retryAfterSeconds;
    expect(pauseFor(0)).toBe(0.1);
    expect(pauseFor(600)).toBe(1);
  });

  it('says where a service has no target at all', () => {
    expect(refuseWithoutTarget('s', [], 600)).toMatchObject({
      code: 'no_target',
      retryAfterSeconds: 1,
    });
  });
});
