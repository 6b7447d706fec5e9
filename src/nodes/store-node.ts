import { LifeCycle, messageOf } from '../core';
import { Backfill, TurnJournal, TurnStore } from '../turns';
import { NodeParts, type NodePartsOptions } from './node';
import { PauseWatch } from './pause-watch';

/** A process that keeps turns and budgets on its host's disk. */
export async function createStoreNode(
  options: Omit<NodePartsOptions, 'kind'>,
): Promise<{ readonly parts: NodeParts; readonly lifeCycle: LifeCycle }> {
  const parts = new NodeParts({ ...options, kind: 'store' });
  const { clock, random, logger, metrics, view, configuration, peers } = parts;
  const journal = new TurnJournal(parts.openStore('turns'), random, (error) => {
    logger.fatal({ event: 'storage-failed', error: messageOf(error) });
    options.onFailure();
  });
  await journal.open();
  const self = parts.describe(false, journal.dataLife);
  const backfill = new Backfill({ self: self.name, journal, peers, clock, random, logger });
  const store = new TurnStore({ self: self.name, journal, backfill, view, clock, logger, metrics });
  const status = () => ({
    configurationVersion: configuration.number,
    viewEpoch: view.number,
    completeFor: journal.completeFor,
  });
  const greeter = parts.createGreeter(self, status);
  const founding = parts.createFounding(self);
  const service = parts.createService(self, { status, greeter, founding, keeper: undefined });
  metrics.gauge('turns', () => journal.table.turnCount);
  const lifeCycle = new LifeCycle();
  lifeCycle.add('log', parts.logOutput);
  lifeCycle.add('pause-watch', new PauseWatch(parts));
  lifeCycle.add('peers', parts.peers);
  lifeCycle.add('store', store);
  lifeCycle.add(
    'listener',
    parts.createListener([service.calls, store.calls], [service.casts, store.casts]),
  );
  lifeCycle.add('greeter', greeter);
  parts.addMetrics(lifeCycle);
  return { parts, lifeCycle };
}
