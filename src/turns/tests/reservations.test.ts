import { LatestValue, type StoreView } from '../../cluster';
import { Metrics, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { RpcClient } from '../../rpc';
import { ChainCache, type Reservation, TurnClient, type TurnContract } from '..';
import { settle } from './store-cluster';
import { SAMPLE_VIEW } from './sample-view';

const MOST = 10;

/** Stores that do nothing but note reservations, in the order in which they are let through. */
class NotingStores {
  readonly #reservations = new Map<string, Reservation[]>();
  readonly #held = new Map<string, () => void>();
  /** Whether reservations wait until they are let through. */
  holds = false;

  readonly caller: RpcClient<TurnContract> = {
    call: ((store: string, _name: string, body: { readonly turn?: string }): Promise<unknown> => {
      const noted = this.#reservations.get(store) ?? [];
      this.#reservations.set(store, noted);
      const answer = () =>
        ({ kind: 'reservations', complete: true, reservations: [...noted] }) as const;
      const { turn } = body;
      if (turn === undefined) return Promise.resolve(answer());
      return new Promise((resolve) => {
        const note = () => {
          noted.push({ turn, tokens: MOST, settled: false });
          resolve(answer());
        };
        if (this.holds) this.#held.set(`${store} ${turn}`, note);
        else note();
      });
    }) as RpcClient<TurnContract>['call'],
    cast: (store: string, _name: string, notice: { readonly turn: string }) => {
      const noted = this.#reservations.get(store) ?? [];
      const withdrawn = { turn: notice.turn, tokens: 0, settled: true };
      this.#reservations.set(store, [
        ...noted.filter(({ turn }) => turn !== notice.turn),
        withdrawn,
      ]);
    },
    isConnected: () => true,
  };

  /** Lets reservations through, each named as `store turn`. */
  letThrough(names: readonly string[]): void {
    for (const name of names) this.#held.get(name)?.();
  }
}

function createClient(stores: NotingStores, clock: ManualClock): TurnClient {
  const view = new LatestValue<StoreView>(({ epoch }) => epoch);
  view.offer(SAMPLE_VIEW);
  return new TurnClient({
    availabilityZone: 'a',
    view,
    cache: new ChainCache(0),
    watch: { noteSuccess: () => undefined },
    peers: stores.caller,
    clock,
    logger: createSilentLogger(),
    metrics: new Metrics(),
  });
}

/** Lets 60 ms pass, in steps after each of which what waits can go on. */
async function passTime(clock: ManualClock): Promise<void> {
  for (let step = 0; step < 6; step += 1) {
    await settle();
    clock.advance(10);
  }
  await settle();
}

describe('reservations of turns at the same time', () => {
  const reserve = (client: TurnClient, turn: string) =>
    client.reserve({ program: 'p', turn, most: MOST, budget: 2 * MOST, deadline: 1000 });

  describe('where each reaches another two of three stores', () => {
    it('never grants more than fits, though each sees only one of the others at first', async () => {
      const clock = new ManualClock();
      const stores = new NotingStores();
      stores.holds = true;
      const client = createClient(stores, clock);
      const answers = Promise.all(['t1', 't2', 't3'].map((turn) => reserve(client, turn)));
      stores.letThrough(['b t1', 'c t2', 'a t3', 'a t1', 'b t2', 'c t3']);
      await passTime(clock);
      const granted = (await answers).filter(({ fits }) => fits);
      expect(granted.length).toBeLessThanOrEqual(2);
    });
  });

  describe('where they fit singly but not together', () => {
    it('grants as many as fit, and refuses the others at once', async () => {
      const clock = new ManualClock();
      const stores = new NotingStores();
      stores.holds = true;
      const client = createClient(stores, clock);
      const turns = ['t1', 't2', 't3', 't4', 't5'];
      const answers = turns.map(async (turn) => {
        const { fits } = await reserve(client, turn);
        if (!fits) client.settle('p', turn, 0);
        return { turn, fits, after: clock.monotonic() };
      });
      stores.letThrough(turns.map((turn) => `a ${turn}`));
      stores.letThrough(turns.toReversed().map((turn) => `b ${turn}`));
      stores.letThrough(turns.map((turn) => `c ${turn}`));
      await passTime(clock);
      const outcomes = await Promise.all(answers);
      expect(outcomes.map(({ fits }) => fits)).toEqual([true, true, false, false, false]);
      expect(outcomes.map(({ after }) => after)).toEqual([10, 10, 0, 0, 0]);
    });
  });

  describe('where all stores answer', () => {
    it('grants what fits in one round', async () => {
      const client = createClient(new NotingStores(), new ManualClock());
      expect(await reserve(client, 't1')).toMatchObject({ fits: true });
      expect(await reserve(client, 't2')).toMatchObject({ fits: true });
      expect(await reserve(client, 't3')).toMatchObject({ fits: false });
    });
  });
});
