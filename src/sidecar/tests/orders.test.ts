import { createSilentLogger } from '../../core';
import type { Order } from '../../state';
import { OrderRunner } from '../orders';
import type { TargetClient } from '../target-client';

const ORDER: Order = { id: '1', target: 'engine-a', kind: 'release-cache', program: 'p-1' };

describe('OrderRunner', () => {
  let sent: unknown[];
  let confirmed: string[];

  beforeEach(() => {
    sent = [];
    confirmed = [];
  });

  function createRunner(fetchHighestTerm: () => Promise<number>): OrderRunner {
    const client: Pick<TargetClient, 'requestJson'> = {
      requestJson: (_method, _path, body) => {
        sent.push(body);
        return Promise.resolve({});
      },
    };
    return new OrderRunner({
      client: client as TargetClient,
      logger: createSilentLogger(),
      fetchHighestTerm,
      confirm: (orders) => {
        confirmed.push(...orders);
        return Promise.resolve();
      },
    });
  }

  it('sends the term of the leader as fencing token, and confirms the order', async () => {
    const runner = createRunner(() => Promise.resolve(3));
    expect(await runner.run([ORDER], 3)).toBe(true);
    expect(sent).toMatchObject([{ kind: 'release-cache', fence: 3 }]);
    expect(confirmed).toEqual(['1']);
  });

  it('rejects orders of a leader that was replaced while the sidecar was down', async () => {
    const runner = createRunner(() => Promise.resolve(5));
    expect(await runner.run([ORDER], 4)).toBe(false);
    expect(sent).toEqual([]);
  });

  it('rejects orders of a lower term than the last one executed', async () => {
    const runner = createRunner(() => Promise.resolve(1));
    await runner.run([ORDER], 7);
    expect(await runner.run([ORDER], 6)).toBe(false);
    expect(sent).toHaveLength(1);
  });

  it('executes no order until a quorum has returned the term', async () => {
    const responses = [() => Promise.reject(new Error('no quorum')), () => Promise.resolve(2)];
    const runner = createRunner(() => (responses.shift() ?? (() => Promise.resolve(2)))());
    expect(await runner.run([ORDER], 2)).toBe(false);
    expect(sent).toEqual([]);
    expect(await runner.run([ORDER], 2)).toBe(true);
  });
});
