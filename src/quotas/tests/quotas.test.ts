import fc from 'fast-check';
import type { Quota } from '../../teams';
import { QuotaCluster } from './quota-cluster';

const WINDOW_MILLISECONDS = 5000;

/** Maximum number of requests that a quota allows in a window. */
function maximumAllowed({ requestsPerSecond, burst }: Quota): number {
  return (requestsPerSecond * WINDOW_MILLISECONDS) / 1000 + Math.max(burst, 1);
}

/** Sends requests to random gateways, `perSecond` on average; `starts`: share of first turns. */
function createArrivals(cluster: QuotaCluster, team: string, perSecond: number, starts = 0) {
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

/** Models a conversation with tool calls. */
const PROGRAM = { requests: 12, pauseMilliseconds: 250 } as const;

interface ProgramCounts {
  started: number;
  /** Programs refused at their first request. */
  refused: number;
  completed: number;
  /** Programs refused at a later request, which wastes the quota of the requests before. */
  interrupted: number;
}

/** Starts programs at random gateways, `perSecond` on average, each a sequence of requests. */
function createPrograms(
  cluster: QuotaCluster,
  team: string,
  perSecond: number,
  marksStarts = true,
) {
  const counts: ProgramCounts = { started: 0, refused: 0, completed: 0, interrupted: 0 };
  const sendNext = (left: number) => {
    const gateway = Math.floor(cluster.random.fraction() * cluster.size);
    const isFirst = left === PROGRAM.requests;
    cluster.request(gateway, team, isFirst && marksStarts, (granted) => {
      if (!granted) counts[isFirst ? 'refused' : 'interrupted'] += 1;
      else if (left === 1) counts.completed += 1;
      else {
        cluster.clock.after(PROGRAM.pauseMilliseconds, () => {
          sendNext(left - 1);
        });
      }
    });
  };
  const act = () => {
    if (cluster.random.fraction() * 1000 >= perSecond) return;
    counts.started += 1;
    sendNext(PROGRAM.requests);
  };
  return { counts, act };
}

describe('quotas across all gateways', () => {
  describe('without faults', () => {
    it('refuse at most 1% of programs within quota, and delay the median request by under 10 ms', async () => {
      const quotas = {
        large: { requestsPerSecond: 200, burst: 200 },
        small: { requestsPerSecond: 20, burst: 20 },
      };
      const cluster = new QuotaCluster(1, 22, quotas);
      await cluster.advance(2000);
      const large = createPrograms(cluster, 'large', 10);
      const small = createPrograms(cluster, 'small', 0.8);
      await cluster.advance(20_000, () => {
        large.act();
        small.act();
      });
      await cluster.advance(5000);
      for (const { counts } of [large, small]) {
        expect(counts.started).toBeGreaterThan(10);
        expect(counts.refused + counts.interrupted).toBeLessThanOrEqual(counts.started * 0.01);
      }
      const waits = cluster.requests.map(({ arrivedAt, endedAt }) => endedAt - arrivedAt);
      waits.sort((left, right) => left - right);
      expect(waits[Math.floor(waits.length / 2)]).toBeLessThan(10);
      expect(cluster.leaderRequestCount).toBeLessThan(2 * cluster.requests.length);
    }, 60_000);

    it('admit at most the quota, and over 90% of its rate, of a team that exceeds it', async () => {
      const quota = { requestsPerSecond: 20, burst: 20 };
      const cluster = new QuotaCluster(2, 10, { team: quota });
      await cluster.advance(3000);
      await cluster.advance(12_000, createArrivals(cluster, 'team', 100, 0.1));
      await cluster.advance(1500);
      const maximum = cluster.maximumAdmitted('team', WINDOW_MILLISECONDS);
      expect(maximum).toBeLessThanOrEqual(maximumAllowed(quota));
      expect(maximum).toBeGreaterThan(0.9 * quota.requestsPerSecond * 5);
    }, 60_000);
  });

  describe('of a team that starts three times as many programs as its quota allows', () => {
    /** `marksStarts`: whether first requests of programs are marked as such. */
    async function runOverload(marksStarts: boolean): Promise<ProgramCounts> {
      const cluster = new QuotaCluster(5, 10, { team: { requestsPerSecond: 48, burst: 48 } });
      await cluster.advance(3000);
      const { counts, act } = createPrograms(cluster, 'team', 12, marksStarts);
      await cluster.advance(20_000, act);
      await cluster.advance(5000);
      return counts;
    }

    it('complete over 1.5 times as many programs as without marked first requests', async () => {
      const unmarked = await runOverload(false);
      const marked = await runOverload(true);
      expect(marked.completed).toBeGreaterThan(1.5 * unmarked.completed);
      expect(marked.interrupted).toBeLessThan(0.1 * marked.completed);
      expect(marked.completed * PROGRAM.requests).toBeGreaterThan(0.95 * 48 * 20);
    }, 60_000);
  });

  describe('during an election', () => {
    it('delay requests of running programs and admit over 98% of them', async () => {
      const cluster = new QuotaCluster(3, 10, { team: { requestsPerSecond: 40, burst: 40 } });
      await cluster.advance(3000);
      const act = createArrivals(cluster, 'team', 20);
      await cluster.advance(2000, act);
      cluster.startElection();
      await cluster.advance(4000, act);
      await cluster.advance(1500);
      expect(shareOf(cluster, 'team', 'granted')).toBeGreaterThan(0.98);
    }, 60_000);
  });

  describe('after a reduction', () => {
    it('apply the new limit within one window', async () => {
      const cluster = new QuotaCluster(4, 10, { team: { requestsPerSecond: 80, burst: 80 } });
      await cluster.advance(3000);
      const act = createArrivals(cluster, 'team', 60, 0.1);
      await cluster.advance(3000, act);
      const lower = { requestsPerSecond: 10, burst: 10 };
      cluster.configure('team', lower);
      await cluster.advance(WINDOW_MILLISECONDS, act);
      const before = cluster.requests.length;
      await cluster.advance(8000, act);
      await cluster.advance(1500);
      cluster.requests.splice(0, before);
      const maximum = cluster.maximumAdmitted('team', WINDOW_MILLISECONDS);
      expect(maximum).toBeLessThanOrEqual(maximumAllowed(lower));
      expect(maximum).toBeGreaterThan(0.8 * 50);
    }, 60_000);
  });

  /** A fault, injected `after` milliseconds after the previous one. */
  const fault = fc.record({
    kind: fc.constantFrom('partition', 'heal', 'suspend', 'resume', 'restart', 'elect'),
    gateway: fc.nat(5),
    after: fc.integer({ min: 1, max: 1500 }),
  });

  describe('under restarts, partitions, suspensions and elections', () => {
    it('are never exceeded by more than 10% plus 20 requests in a window', async () => {
      const property = fc.asyncProperty(
        fc.nat(1_000_000),
        fc.array(fault, { minLength: 3, maxLength: 14 }),
        fc.constantFrom(5, 20, 60),
        fc.constantFrom(0.6, 1.2, 4),
        async (seed, faults, rate, demand) => {
          const quota = { requestsPerSecond: rate, burst: rate };
          const cluster = new QuotaCluster(seed, 6, { team: quota });
          const act = createArrivals(cluster, 'team', rate * demand, 0.1);
          for (const { kind, gateway, after } of faults) {
            await cluster.advance(after, act);
            if (kind === 'partition') cluster.setPartitioned(gateway, true);
            else if (kind === 'heal') cluster.setPartitioned(gateway, false);
            else if (kind === 'suspend') cluster.suspend(gateway);
            else if (kind === 'resume') cluster.resume(gateway);
            else if (kind === 'restart') cluster.restart(gateway);
            else cluster.startElection();
          }
          await cluster.advance(2000, act);
          const maximum = cluster.maximumAdmitted('team', WINDOW_MILLISECONDS);
          expect(maximum).toBeLessThanOrEqual(maximumAllowed(quota) * 1.1 + 20);
        },
      );
      await fc.assert(property, { numRuns: 40, seed: 1 });
    }, 120_000);
  });
});
