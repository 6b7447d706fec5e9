import { LatestValue, type StoreView } from '../../cluster';
import { Metrics, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { ConfirmingRpcClient } from '../../rpc';
import type { SettleNotice, TurnContract } from '../contract';
import { SettlementOutbox } from '../settlement-outbox';
import { SAMPLE_VIEW } from './sample-view';
import { flushEventLoop } from './simulated-cluster';

const REPEAT_DELAY_MILLISECONDS = 500;

/** An outbox whose stores are reachable or not, as the test says. */
class Scenario {
  readonly clock = new ManualClock();
  readonly metrics = new Metrics();
  readonly unreachable = new Set<string>();
  /** Attempts by address and turn, in order. */
  readonly attempts: string[] = [];
  readonly #view = new LatestValue<StoreView>(({ epoch }) => epoch);
  readonly outbox: SettlementOutbox;

  constructor() {
    this.#view.offer(SAMPLE_VIEW);
    const peers: Partial<ConfirmingRpcClient<TurnContract>> = {
      castConfirmed: (address, _name, notice: SettleNotice) => {
        this.attempts.push(`${address} ${notice.turn}`);
        return this.unreachable.has(address)
          ? Promise.reject(new Error('unreachable'))
          : Promise.resolve();
      },
      isConnected: (address) => !this.unreachable.has(address),
    };
    this.outbox = new SettlementOutbox({
      view: this.#view,
      peers: peers as ConfirmingRpcClient<TurnContract>,
      clock: this.clock,
      logger: createSilentLogger(),
      metrics: this.metrics,
    });
  }

  async settle(...turns: readonly string[]): Promise<void> {
    for (const turn of turns) this.outbox.send({ program: 'p', turn, tokens: 0 });
    await flushEventLoop();
    this.attempts.length = 0;
  }

  /** Resolves with the attempts within the given time. */
  async attemptsWithin(milliseconds: number): Promise<readonly string[]> {
    this.attempts.length = 0;
    for (let time = 0; time < milliseconds; time += REPEAT_DELAY_MILLISECONDS) {
      this.clock.advance(REPEAT_DELAY_MILLISECONDS);
      await flushEventLoop();
    }
    return [...this.attempts];
  }

  replace(lost: string): void {
    const members = SAMPLE_VIEW.members.filter(({ name }) => name !== lost);
    this.#view.offer({ ...SAMPLE_VIEW, epoch: SAMPLE_VIEW.epoch + 1, members });
  }
}

const [LOST, ...OTHERS] = SAMPLE_VIEW.members;

// Guards against reservations that stay counted because their end was sent once and lost.
describe('a settlement', () => {
  let scenario: Scenario;
  const lost = LOST?.address ?? '';

  beforeEach(() => {
    scenario = new Scenario();
    scenario.unreachable.add(lost);
  });

  afterEach(() => {
    scenario.outbox.stop();
  });

  it('is sent to all stores, and again only to the one that may have missed it', async () => {
    scenario.outbox.send({ program: 'p', turn: 't', tokens: 0 });
    expect(scenario.attempts).toHaveLength(1 + OTHERS.length);
    await flushEventLoop();
    scenario.unreachable.clear();
    expect(await scenario.attemptsWithin(REPEAT_DELAY_MILLISECONDS)).toEqual([`${lost} t`]);
    expect(await scenario.attemptsWithin(5000)).toEqual([]);
  });

  it('alone opens the connection to a store that is unreachable; the others follow', async () => {
    await scenario.settle('t1', 't2', 't3');
    expect(await scenario.attemptsWithin(REPEAT_DELAY_MILLISECONDS)).toHaveLength(1);
    scenario.unreachable.clear();
    const repeated = await scenario.attemptsWithin(REPEAT_DELAY_MILLISECONDS);
    expect([...repeated].sort()).toEqual([`${lost} t1`, `${lost} t2`, `${lost} t3`]);
  });

  it('is dropped when the store leaves the view', async () => {
    await scenario.settle('t');
    scenario.replace(LOST?.name ?? '');
    expect(await scenario.attemptsWithin(5000)).toEqual([]);
  });

  it('is dropped once the store keeps the budget no longer', async () => {
    await scenario.settle('t');
    await scenario.attemptsWithin(121_000);
    scenario.unreachable.clear();
    expect(await scenario.attemptsWithin(5000)).toEqual([]);
  });

  it('is not repeated after the process has stopped', async () => {
    await scenario.settle('t');
    scenario.outbox.stop();
    scenario.outbox.send({ program: 'p', turn: 'late', tokens: 0 });
    await flushEventLoop();
    expect(await scenario.attemptsWithin(5000)).toEqual([]);
  });

  it('is dropped in favour of newer ones beyond a limit', async () => {
    const turns = Array.from({ length: 4100 }, (_, index) => `t${index}`);
    await scenario.settle(...turns);
    scenario.unreachable.clear();
    const repeated = await scenario.attemptsWithin(REPEAT_DELAY_MILLISECONDS);
    expect(repeated).toHaveLength(4096);
    expect(repeated).toContain(`${lost} t4099`);
    expect(scenario.metrics.render()).toContain('settlements_dropped_total 4');
  });
});
