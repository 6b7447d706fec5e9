import fc from 'fast-check';
import type { Quota } from '../../teams';
import { QuotaCluster } from './quota-cluster';

const WINDOW_MILLISECONDS = 5000;

/** Most that a quota allows in a window. */
function boundOf({ requestsPerSecond, burst }: Quota): number {
  return (requestsPerSecond * WINDOW_MILLISECONDS) / 1000 + Math.max(burst, 1);
}

/** Lets requests arrive at random gateways, `perSecond` on the mean. */
function arrivals(cluster: QuotaCluster, team: string, perSecond: number, starts = 0) {
  return () => {
    if (cluster.random.fraction() * 1000 >= perSecond) return;
    const gateway = Math.floor(cluster.random.fraction() * cluster.size);
    cluster.request(gateway, team, cluster.random.fraction() < starts);
  };
}

function shareOf(cluster: QuotaCluster, team: string, outcome: string): number {
  const requests = cluster.requests.filter((request) => request.team === team);
  return requests.filter((request) => request.outcome === outcome).length / requests.length;
}

/** Requests of a program, and the pause between them: as of a conversation with tools. */
const PROGRAM = { requests: 12, pauseMilliseconds: 250 } as const;

/** How the programs of a team went. */
interface Programs {
  begun: number;
  /** Those that were refused at their first request. */
  refused: number;
  whole: number;
  /** Those that were refused later, when a part of their quota was spent already. */
  broken: number;
}

/** Programs that begin at random gateways, `perSecond` on the mean, each with requests in a row. */
function programs(cluster: QuotaCluster, team: string, perSecond: number, tellsStarts = true) {
  const counts: Programs = { begun: 0, refused: 0, whole: 0, broken: 0 };
  const goOn = (left: number) => {
    const gateway = Math.floor(cluster.random.fraction() * cluster.size);
    const isFirst = left === PROGRAM.requests;
    cluster.request(gateway, team, isFirst && tellsStarts, (granted) => {
      if (!granted) counts[isFirst ? 'refused' : 'broken'] += 1;
      else if (left === 1) counts.whole += 1;
      else {
        cluster.clock.after(PROGRAM.pauseMilliseconds, () => {
          goOn(left - 1);
        });
      }
    });
  };
  const act = () => {
    if (cluster.random.fraction() * 1000 >= perSecond) return;
    counts.begun += 1;
    goOn(PROGRAM.requests);
  };
  return { counts, act };
}

describe('quotas over all gateways', () => {
  describe('in calm', () => {
    it('refuse at most 1% of the programs inside them, and cost a request 10 ms at most', async () => {
      const quotas = {
        large: { requestsPerSecond: 200, burst: 200 },
        small: { requestsPerSecond: 20, burst: 20 },
      };
      const cluster = new QuotaCluster(1, 22, quotas);
      await cluster.advance(2000);
      const large = programs(cluster, 'large', 10);
      const small = programs(cluster, 'small', 0.8);
      await cluster.advance(20_000, () => {
        large.act();
        small.act();
      });
      await cluster.advance(5000);
      for (const { counts } of [large, small]) {
        expect(counts.begun).toBeGreaterThan(10);
        expect(counts.refused + counts.broken).toBeLessThanOrEqual(counts.begun * 0.01);
      }
      const waits = cluster.requests.map(({ askedAt, endedAt }) => endedAt - askedAt);
      waits.sort((left, right) => left - right);
      expect(waits[Math.floor(waits.length / 2)]).toBeLessThan(10);
      expect(cluster.asked).toBeLessThan(2 * cluster.requests.length);
    }, 60_000);

    it('hold a team that sends far more to exactly what it may', async () => {
      const quota = { requestsPerSecond: 20, burst: 20 };
      const cluster = new QuotaCluster(2, 10, { team: quota });
      await cluster.advance(3000);
      await cluster.advance(12_000, arrivals(cluster, 'team', 100, 0.1));
      await cluster.advance(1500);
      const most = cluster.mostLetThrough('team', WINDOW_MILLISECONDS);
      expect(most).toBeLessThanOrEqual(boundOf(quota));
      expect(most).toBeGreaterThan(0.9 * quota.requestsPerSecond * 5);
    }, 60_000);
  });

  describe('of a team that begins three times as many programs as its quota bears', () => {
    /** Plays the load; `tellsStarts`: whether first requests are told from others. */
    async function play(tellsStarts: boolean): Promise<Programs> {
      const cluster = new QuotaCluster(5, 10, { team: { requestsPerSecond: 48, burst: 48 } });
      await cluster.advance(3000);
      const { counts, act } = programs(cluster, 'team', 12, tellsStarts);
      await cluster.advance(20_000, act);
      await cluster.advance(5000);
      return counts;
    }

    it('end most of the programs that they begin, where requests alike would break most', async () => {
      const alike = await play(false);
      const told = await play(true);
      expect(told.whole).toBeGreaterThan(1.5 * alike.whole);
      expect(told.broken).toBeLessThan(0.1 * told.whole);
      expect(told.whole * PROGRAM.requests).toBeGreaterThan(0.95 * 48 * 20);
    }, 60_000);
  });

  describe('through an election', () => {
    it('let requests of programs under way wait, and serve them', async () => {
      const cluster = new QuotaCluster(3, 10, { team: { requestsPerSecond: 40, burst: 40 } });
      await cluster.advance(3000);
      const act = arrivals(cluster, 'team', 20);
      await cluster.advance(2000, act);
      cluster.elect();
      await cluster.advance(4000, act);
      await cluster.advance(1500);
      expect(shareOf(cluster, 'team', 'granted')).toBeGreaterThan(0.98);
    }, 60_000);
  });

  describe('whose limit is lowered', () => {
    it('hold a team to the new one within a window', async () => {
      const cluster = new QuotaCluster(4, 10, { team: { requestsPerSecond: 80, burst: 80 } });
      await cluster.advance(3000);
      const act = arrivals(cluster, 'team', 60, 0.1);
      await cluster.advance(3000, act);
      const lower = { requestsPerSecond: 10, burst: 10 };
      cluster.configure('team', lower);
      await cluster.advance(WINDOW_MILLISECONDS, act);
      const before = cluster.requests.length;
      await cluster.advance(8000, act);
      await cluster.advance(1500);
      cluster.requests.splice(0, before);
      const most = cluster.mostLetThrough('team', WINDOW_MILLISECONDS);
      expect(most).toBeLessThanOrEqual(boundOf(lower));
      expect(most).toBeGreaterThan(0.8 * 50);
    }, 60_000);
  });

  /** Something that happens to the cluster, `at` milliseconds after the last. */
  const trouble = fc.record({
    kind: fc.constantFrom('cut', 'heal', 'freeze', 'thaw', 'restart', 'elect'),
    gateway: fc.nat(5),
    after: fc.integer({ min: 1, max: 1500 }),
  });

  describe('under kills, cuts, freezes and elections', () => {
    it('are never exceeded beyond the tenth and the slack that deployments allow', async () => {
      const property = fc.asyncProperty(
        fc.nat(1_000_000),
        fc.array(trouble, { minLength: 3, maxLength: 14 }),
        fc.constantFrom(5, 20, 60),
        fc.constantFrom(0.6, 1.2, 4),
        async (seed, troubles, rate, demand) => {
          const quota = { requestsPerSecond: rate, burst: rate };
          const cluster = new QuotaCluster(seed, 6, { team: quota });
          const act = arrivals(cluster, 'team', rate * demand, 0.1);
          for (const { kind, gateway, after } of troubles) {
            await cluster.advance(after, act);
            if (kind === 'cut') cluster.setCut(gateway, true);
            else if (kind === 'heal') cluster.setCut(gateway, false);
            else if (kind === 'freeze') cluster.freeze(gateway);
            else if (kind === 'thaw') cluster.thaw(gateway);
            else if (kind === 'restart') cluster.restart(gateway);
            else cluster.elect();
          }
          await cluster.advance(2000, act);
          const most = cluster.mostLetThrough('team', WINDOW_MILLISECONDS);
          expect(most).toBeLessThanOrEqual(boundOf(quota) * 1.1 + 20);
        },
      );
      await fc.assert(property, { numRuns: 40, seed: 1 });
    }, 120_000);
  });
});
