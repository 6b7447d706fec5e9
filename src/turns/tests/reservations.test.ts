import { LatestValue, type StoreView } from '../../cluster';
import { Metrics, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { ConfirmingRpcClient } from '../../rpc';
import { ChainCache, type Reservation, TurnClient, type TurnContract } from '..';
import type { ReserveRequest } from '../contract';
import { flushEventLoop } from './simulated-cluster';
import { SAMPLE_VIEW } from './sample-view';

const MAX_TOKENS = 10;

/** Stores that record reservations in the order in which the test releases them. */
class FakeStores {
  readonly #reservations = new Map<string, Reservation[]>();
  readonly #delayedReservations = new Map<string, () => void>();
  /** Whether the first write of a reservation at a store waits for {@link release}. */
  delaysReservations = false;

  readonly client: ConfirmingRpcClient<TurnContract> = {
    call: ((store: string, _name: string, body: Partial<ReserveRequest>): Promise<unknown> => {
      const recorded = this.#reservations.get(store) ?? [];
      this.#reservations.set(store, recorded);
      const answer = () =>
        ({ kind: 'reservations', complete: true, reservations: [...recorded] }) as const;
      const { turn, spread } = body;
      if (turn === undefined) return Promise.resolve(answer());
      return new Promise((resolve) => {
        const record = () => {
          const written = { turn, tokens: MAX_TOKENS, settled: false };
          recorded.push(spread === true ? { ...written, spread } : written);
          resolve(answer());
        };
        if (this.delaysReservations && spread !== true)
          this.#delayedReservations.set(`${store} ${turn}`, record);
        else record();
      });
    }) as ConfirmingRpcClient<TurnContract>['call'],
    cast: () => undefined,
    castConfirmed: (store: string, _name: string, notice: { readonly turn: string }) => {
      const recorded = this.#reservations.get(store) ?? [];
      const settled = { turn: notice.turn, tokens: 0, settled: true };
      this.#reservations.set(store, [
        ...recorded.filter(({ turn }) => turn !== notice.turn),
        settled,
      ]);
      return Promise.resolve();
    },
    isConnected: () => true,
  };

  /** Releases delayed reservations, each given as `store turn`. */
  release(names: readonly string[]): void {
    for (const name of names) this.#delayedReservations.get(name)?.();
  }
}

function createClient(stores: FakeStores, clock: ManualClock): TurnClient {
  const view = new LatestValue<StoreView>(({ epoch }) => epoch);
  view.offer(SAMPLE_VIEW);
  return new TurnClient({
    availabilityZone: 'a',
    view,
    cache: new ChainCache(0),
    quorumMonitor: { recordSuccess: () => undefined },
    peers: stores.client,
    clock,
    logger: createSilentLogger(),
    metrics: new Metrics(),
  });
}

/** Advances the clock by 120 ms in steps of 10 ms, and runs pending callbacks after each. */
async function advanceTime(clock: ManualClock): Promise<void> {
  for (let step = 0; step < 12; step += 1) {
    await flushEventLoop();
    clock.advance(10);
  }
  await flushEventLoop();
}

describe('concurrent reservations', () => {
  const reserve = (client: TurnClient, turn: string) =>
    client.reserve({
      program: 'p',
      turn,
      maxTokens: MAX_TOKENS,
      budget: 2 * MAX_TOKENS,
      deadline: 1000,
    });

  describe('when each reaches a different pair of three stores', () => {
    it('never grants more than the budget, although each first sees only one other', async () => {
      const clock = new ManualClock();
      const stores = new FakeStores();
      stores.delaysReservations = true;
      const client = createClient(stores, clock);
      const answers = Promise.all(['t1', 't2', 't3'].map((turn) => reserve(client, turn)));
      stores.release(['b t1', 'c t2', 'a t3', 'a t1', 'b t2', 'c t3']);
      await advanceTime(clock);
      const granted = (await answers).filter(({ fits }) => fits);
      expect(granted.length).toBeLessThanOrEqual(2);
    });
  });

  describe('that fit singly but not together', () => {
    it('grants as many as fit, and refuses the others without delay', async () => {
      const clock = new ManualClock();
      const stores = new FakeStores();
      stores.delaysReservations = true;
      const client = createClient(stores, clock);
      const turns = ['t1', 't2', 't3', 't4', 't5'];
      const answers = turns.map(async (turn) => {
        const { fits } = await reserve(client, turn);
        if (!fits) client.settle('p', turn, 0);
        return { turn, fits, decidedAt: clock.monotonic() };
      });
      stores.release(turns.map((turn) => `a ${turn}`));
      stores.release(turns.toReversed().map((turn) => `b ${turn}`));
      stores.release(turns.map((turn) => `c ${turn}`));
      await advanceTime(clock);
      const outcomes = await Promise.all(answers);
      expect(outcomes.map(({ fits }) => fits)).toEqual([true, true, false, false, false]);
      expect(outcomes.map(({ decidedAt }) => decidedAt)).toEqual([10, 10, 0, 0, 0]);
    });
  });

  describe('when all stores answer', () => {
    it('decides in one round', async () => {
      const client = createClient(new FakeStores(), new ManualClock());
      expect(await reserve(client, 't1')).toMatchObject({ fits: true });
      expect(await reserve(client, 't2')).toMatchObject({ fits: true });
      expect(await reserve(client, 't3')).toMatchObject({ fits: false });
    });
  });
});
