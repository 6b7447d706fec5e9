import { createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { TeamDirectory } from '../../teams';
import {
  LENT_MILLISECONDS,
  QuotaBucket,
  type QuotaDemand,
  type QuotaGrant,
  QuotaHolder,
  QuotaShare,
} from '..';

const QUOTA = { requestsPerSecond: 10, burst: 20 };

/** Time after which a bucket that began empty is full, and its holder knows of all that is lent. */
const FULL_MILLISECONDS = 10_000;

function demand(facts: Partial<QuotaDemand> = {}): QuotaDemand {
  const none = { spent: 0, held: 0, waitingStarts: 0, waitingOthers: 0, stock: 0 };
  return { team: 'red', ...none, ...facts };
}

describe("one team's quota at its holder", () => {
  it('is empty when its holder begins, and half full at most while others may have lent of it', () => {
    const bucket = new QuotaBucket(QUOTA, 1000);
    expect(bucket.lend('a', demand({ waitingOthers: 5 }), 1000)).toMatchObject({ others: 0 });
    bucket.lend('a', demand(), 1000 + LENT_MILLISECONDS - 1);
    expect(bucket.level).toBe(QUOTA.burst / 2);
    bucket.lend('a', demand(), FULL_MILLISECONDS);
    expect(bucket.level).toBe(QUOTA.burst);
  });

  it('keeps the place of what is lent until it is known to be spent', () => {
    const bucket = new QuotaBucket(QUOTA, 0);
    bucket.lend('a', demand({ stock: 10 }), FULL_MILLISECONDS);
    expect([bucket.level, bucket.lent]).toEqual([10, 10]);
    bucket.lend('b', demand(), FULL_MILLISECONDS + 1500);
    expect([bucket.level, bucket.lent]).toEqual([10, 10]);
    bucket.lend('a', demand({ spent: 4, held: 6 }), FULL_MILLISECONDS + 1600);
    bucket.lend('b', demand(), FULL_MILLISECONDS + 1900);
    expect([bucket.level, bucket.lent]).toEqual([13, 6]);
  });

  it('takes back what was lent in an answer that never arrived', () => {
    const bucket = new QuotaBucket(QUOTA, 0);
    bucket.lend('a', demand({ waitingOthers: 20 }), FULL_MILLISECONDS);
    expect([bucket.level, bucket.lent]).toEqual([0, 20]);
    bucket.lend('a', demand(), FULL_MILLISECONDS);
    expect([bucket.level, bucket.lent]).toEqual([20, 0]);
  });

  it('lends nothing again that a silent gateway may have spent', () => {
    const bucket = new QuotaBucket(QUOTA, 0);
    bucket.lend('a', demand({ waitingOthers: 20 }), FULL_MILLISECONDS);
    const later = FULL_MILLISECONDS + LENT_MILLISECONDS + 100;
    bucket.lend('b', demand(), later);
    expect(bucket.lent).toBe(0);
    expect(bucket.level).toBeLessThan(1.1);
  });

  it('lends to requests of programs under way before those that begin one, and stocks last', () => {
    const bucket = new QuotaBucket(QUOTA, 0);
    const wanted = demand({ waitingOthers: 15, waitingStarts: 9, stock: 9 });
    const grant = bucket.lend('a', wanted, FULL_MILLISECONDS);
    expect(grant).toMatchObject({ others: 15, starts: 5, stock: 0, left: 0 });
  });

  it('tells callers who are refused to return one after the other', () => {
    const bucket = new QuotaBucket(QUOTA, 0);
    const refused = demand({ waitingStarts: 25 });
    const first = bucket.lend('a', refused, FULL_MILLISECONDS);
    const second = bucket.lend('b', demand({ waitingStarts: 5 }), FULL_MILLISECONDS);
    expect(first.retryAfterSeconds).toBeCloseTo(0.6);
    expect(second.retryAfterSeconds).toBeCloseTo(1.1);
  });

  it('holds what is left of it to a lower limit at once', () => {
    const bucket = new QuotaBucket(QUOTA, 0);
    bucket.lend('a', demand(), FULL_MILLISECONDS);
    bucket.resize({ requestsPerSecond: 2, burst: 3 }, FULL_MILLISECONDS);
    expect(bucket.level).toBe(3);
  });
});

describe('the holder of the quotas', () => {
  it('forgets what it lent in an earlier leadership', () => {
    const clock = new ManualClock();
    const team = { name: 'red', keyDigests: [], priority: 0, quota: QUOTA };
    const teams = new TeamDirectory([team]);
    const holder = new QuotaHolder({ teams: () => teams, clock, logger: createSilentLogger() });
    clock.advance(FULL_MILLISECONDS);
    const report = { run: 'a', demands: [demand({ waitingOthers: 20 })] };
    const grantsIn = (term: number, since: number) => holder.take(report, { term, since }).grants;
    expect(grantsIn(1, 0)).toMatchObject([{ others: 20 }]);
    expect(grantsIn(3, FULL_MILLISECONDS)).toMatchObject([{ others: 0 }]);
  });

  it('lends nothing to a team that is gone, and all to one without a quota', () => {
    const team = { name: 'red', keyDigests: [], priority: 0, quota: undefined };
    const teams = new TeamDirectory([team]);
    const clock = new ManualClock();
    const holder = new QuotaHolder({ teams: () => teams, clock, logger: createSilentLogger() });
    const gone = { ...demand({ waitingOthers: 3 }), team: 'gone' };
    const { grants } = holder.take(
      { run: 'a', demands: [demand({ waitingOthers: 3, waitingStarts: 1 }), gone] },
      { term: 1, since: 0 },
    );
    expect(grants).toMatchObject([{ others: 3, starts: 1 }, { others: 0 }]);
  });
});

describe("a gateway's share of one quota", () => {
  const FACTS = { term: 1, validMilliseconds: 2000 };
  const GRANT: QuotaGrant = {
    team: 'red',
    starts: 0,
    others: 0,
    stock: 0,
    left: 0,
    retryAfterSeconds: 1,
  };

  it('may be spent until its time is over, counted from the question', () => {
    const share = new QuotaShare('red');
    share.take(share.demandAt(100), { ...GRANT, stock: 3 }, { ...FACTS, askedAt: 100 });
    expect(share.takeFromStock(2100)).toBe(true);
    expect(share.takeFromStock(2101)).toBe(false);
    expect(share.demandAt(2101)).toMatchObject({ spent: 1, held: 0 });
  });

  it('takes back a request that did not run, unless the holder was told of it', () => {
    const share = new QuotaShare('red');
    share.take(share.demandAt(0), { ...GRANT, stock: 3 }, { ...FACTS, askedAt: 0 });
    share.takeFromStock(10);
    share.giveBack(20);
    expect(share.demandAt(20)).toMatchObject({ spent: 0, held: 3 });
    share.takeFromStock(30);
    share.take(share.demandAt(40), GRANT, { ...FACTS, askedAt: 40 });
    share.giveBack(50);
    expect(share.demandAt(50)).toMatchObject({ spent: 1, held: 2 });
  });

  it('refuses first turns with the answer, and lets others wait until their time is over', () => {
    const share = new QuotaShare('red');
    const ends: string[] = [];
    const wait = (name: string, isStart: boolean, since: number) => {
      const resolve = ({ kind }: { readonly kind: string }) => ends.push(`${name} ${kind}`);
      share.wait({ isStart, since, endsAt: since + 1000, resolve });
    };
    wait('start', true, 0);
    wait('other', false, 0);
    const asked = share.demandAt(1);
    wait('later start', true, 2);
    share.take(asked, GRANT, { ...FACTS, askedAt: 1 });
    expect(ends).toEqual(['start spent']);
    share.endWaits(999);
    expect(ends).toEqual(['start spent']);
    share.endWaits(1002);
    expect(ends).toEqual(['start spent', 'other spent', 'later start unknown']);
  });
});
