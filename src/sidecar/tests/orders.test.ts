import { createSilentLogger } from '../../core';
import type { Order } from '../../state';
import { OrderRunner } from '../orders';
import type { TargetClient } from '../target-client';

const ORDER: Order = { id: '1', target: 'engine-a', kind: 'release-cache', program: 'p-1' };

describe('orders to a target', () => {
  let sent: unknown[];
  let confirmed: string[];

  beforeEach(() => {
    sent = [];
    confirmed = [];
  });

  function createRunner(learnTerm: () => Promise<number>): OrderRunner {
    const client: Pick<TargetClient, 'json'> = {
      json: (_method, _path, body) => {
        sent.push(body);
        return Promise.resolve({});
      },
    };
    return new OrderRunner({
      client: client as TargetClient,
      logger: createSilentLogger(),
      learnTerm,
      confirm: (orders) => {
        confirmed.push(...orders);
        return Promise.resolve();
      },
    });
  }

  it('carry the fencing number of their leader, and are confirmed', async () => {
    const runner = createRunner(() => Promise.resolve(3));
    expect(await runner.run([ORDER], 3)).toBe(true);
    expect(sent).toMatchObject([{ kind: 'release-cache', fence: 3 }]);
    expect(confirmed).toEqual(['1']);
  });

  it('of a leader that was replaced while the sidecar was down are refused', async () => {
    const runner = createRunner(() => Promise.resolve(5));
    expect(await runner.run([ORDER], 4)).toBe(false);
    expect(sent).toEqual([]);
  });

  it('of an older term than one seen are refused', async () => {
    const runner = createRunner(() => Promise.resolve(1));
    await runner.run([ORDER], 7);
    expect(await runner.run([ORDER], 6)).toBe(false);
    expect(sent).toHaveLength(1);
  });

  it('wait as long as no quorum tells the term, and are carried out afterwards', async () => {
    const answers = [() => Promise.reject(new Error('cut off')), () => Promise.resolve(2)];
    const runner = createRunner(() => (answers.shift() ?? (() => Promise.resolve(2)))());
    expect(await runner.run([ORDER], 2)).toBe(false);
    expect(sent).toEqual([]);
    expect(await runner.run([ORDER], 2)).toBe(true);
  });
});
