import { type StoreResult, admitTurn, preparationTimeout, refuseWithoutTarget } from '..';

const CHAIN: StoreResult<readonly string[] | undefined> = { kind: 'known', value: ['turn'] };
const FITS: StoreResult<boolean> = { kind: 'known', value: true };
const UNAVAILABLE = { kind: 'unavailable', reason: 'too few stores answer' } as const;

describe('admitTurn', () => {
  it('returns the chain of an admitted turn', () => {
    const admission = admitTurn({ chain: CHAIN, fitsBudget: FITS, reachesQuorum: true });
    expect(admission).toEqual({ kind: 'admitted', chain: ['turn'] });
  });

  const MISSING_CHAIN: StoreResult<readonly string[] | undefined> = {
    kind: 'known',
    value: undefined,
  };
  const EXCEEDS: StoreResult<boolean> = { kind: 'known', value: false };

  it.each([
    ['404 when the stores confirm that the turn does not exist', MISSING_CHAIN, FITS, 404],
    ['503 when the chain is unavailable', UNAVAILABLE, FITS, 503],
    ['402 when the turn exceeds the budget', CHAIN, EXCEEDS, 402],
    ['503 when the budget is unavailable', CHAIN, UNAVAILABLE, 503],
    ['503 when chain and budget are unavailable', UNAVAILABLE, UNAVAILABLE, 503],
  ] as const)('refuses with %s', (_condition, chain, fitsBudget, status) => {
    const admission = admitTurn<readonly string[]>({ chain, fitsBudget, reachesQuorum: true });
    expect(admission).toMatchObject({ kind: 'refused', refusal: { status } });
  });

  it('shortens the store timeout and lengthens Retry-After without a quorum', () => {
    expect(preparationTimeout(false)).toBeLessThan(50);
    expect(preparationTimeout(true)).toBe(1500);
    const unavailable = { chain: UNAVAILABLE, fitsBudget: FITS };
    const withQuorum = admitTurn({ ...unavailable, reachesQuorum: true });
    const withoutQuorum = admitTurn({ ...unavailable, reachesQuorum: false });
    expect(withQuorum).toMatchObject({ refusal: { retryAfterSeconds: 0.3 } });
    expect(withoutQuorum).toMatchObject({ refusal: { retryAfterSeconds: 1 } });
  });
});

describe('refuseWithoutTarget', () => {
  it('sets Retry-After to the time in which the least loaded target drains its queue', () => {
    const targets = [
      { load: 12, slots: 6 },
      { load: 9, slots: 6 },
    ];
    expect(refuseWithoutTarget('s', targets, 600)).toMatchObject({ status: 503, code: 'not_run' });
    expect(refuseWithoutTarget('s', targets, 600).retryAfterSeconds).toBeCloseTo(0.3);
  });

  it('scales Retry-After with the average request duration', () => {
    const targets = [{ load: 9, slots: 6 }];
    expect(refuseWithoutTarget('s', targets, 1200).retryAfterSeconds).toBeCloseTo(0.6);
  });

  it('limits Retry-After to 0.1 to 1 s', () => {
    const retryAfterAt = (load: number) =>
      refuseWithoutTarget('s', [{ load, slots: 6 }], 600).retryAfterSeconds;
    expect(retryAfterAt(0)).toBe(0.1);
    expect(retryAfterAt(600)).toBe(1);
  });

  it('returns no_target when the service has no targets', () => {
    expect(refuseWithoutTarget('s', [], 600)).toMatchObject({
      code: 'no_target',
      retryAfterSeconds: 1,
    });
  });
});
