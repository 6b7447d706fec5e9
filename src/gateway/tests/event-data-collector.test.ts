import { openUnboundedAccount } from '../../resources/tests/unbounded-account';
import { EventDataCollector } from '../event-data-collector';

const EVENTS = 100;

const EVENT = `data: ${'x'.repeat(1000)}\n\n`;

// Guards against streams whose text fills the heap of the gateway, which ends it.
describe('EventDataCollector', () => {
  const pushEvents = (collector: EventDataCollector) => {
    for (let event = 0; event < EVENTS; event += 1) collector.push(Buffer.from(EVENT));
  };

  it('keeps nothing of a stream that is not recorded', () => {
    const collector = new EventDataCollector(undefined);
    pushEvents(collector);
    expect(collector.count).toBe(EVENTS);
    expect(collector.toBuffer()).toHaveLength(0);
  });

  it('does not count a turn of ordinary size', () => {
    const account = openUnboundedAccount();
    const collector = new EventDataCollector(account);
    for (let event = 0; event < 8; event += 1) collector.push(Buffer.from(EVENT));
    expect(account.bytes).toBe(0);
    expect(collector.toBuffer()).toHaveLength(8 * 1001);
  });

  it('counts what it keeps as memory of the request', () => {
    const account = openUnboundedAccount();
    const collector = new EventDataCollector(account);
    pushEvents(collector);
    expect(account.bytes).toBeGreaterThanOrEqual(EVENTS * 1000);
    expect(collector.toBuffer()).toHaveLength(EVENTS * 1001);
  });
});
