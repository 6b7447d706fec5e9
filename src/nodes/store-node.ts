import { LifeCycle, messageOf } from '../core';
import { Backfill, TurnJournal, TurnStore } from '../turns';
import { NodeContext, type NodeContextOptions } from './node-context';
import { PauseMonitor } from './pause-monitor';

/** Creates a store, which keeps turns and budgets on its host's disk. */
export async function createStoreNode(
  options: Omit<NodeContextOptions, 'kind'>,
): Promise<{ readonly context: NodeContext; readonly lifeCycle: LifeCycle }> {
  const context = new NodeContext({ ...options, kind: 'store' });
  const { clock, random, logger, metrics, view, configuration, peers } = context;
  const journal = new TurnJournal(context.openStore('turns'), random, (error) => {
    logger.fatal({ event: 'storage-failed', error: messageOf(error) });
    options.onFailure(error);
  });
  await journal.open();
  const self = context.describeSelf(false, journal.dataLife);
  const backfill = new Backfill({ self: self.name, journal, peers, clock, random, logger });
  const { storedBytes, writingBytes } = context.limits;
  const memory = { storedBytes, writingBytes, reclaimer: context.reclaimer };
  const store = new TurnStore({
    ...{ self: self.name, journal, backfill, view, memory, clock, logger, metrics },
  });
  const status = () => ({
    configurationVersion: configuration.version,
    viewEpoch: view.version,
    completeFor: journal.completeFor,
  });
  const heartbeatSender = context.createHeartbeatSender(self, status);
  const bootstrap = context.createBootstrap(self);
  const service = context.createClusterService(self, {
    status,
    heartbeatSender,
    bootstrap,
    replicaComponents: undefined,
  });
  metrics.gauge('turns', () => journal.table.turnCount);
  metrics.gauge('turn_bytes', () => journal.table.turnBytes);
  const lifeCycle = new LifeCycle();
  lifeCycle.add('log', context.logOutput);
  lifeCycle.add('pause-monitor', new PauseMonitor(context));
  lifeCycle.add('peers', context.peers);
  lifeCycle.add('store', store);
  lifeCycle.add(
    'rpc-server',
    context.createRpcServer([service.calls, store.calls], [service.casts, store.casts]),
  );
  lifeCycle.add('heartbeat', heartbeatSender);
  context.addMetricsEndpoint(lifeCycle);
  return { context, lifeCycle };
}
