import type { NodeInfo } from '../cluster';
import { type Component, LifeCycle, delay, messageOf } from '../core';
import { RecoveringStore } from '../storage';
import { Backfill, TurnJournal, TurnStore } from '../turns';
import { NodeContext, type NodeContextOptions } from './node-context';
import { PauseMonitor } from './pause-monitor';

const OPEN_RETRY_MILLISECONDS = 1000;

export interface StoreNode {
  readonly context: NodeContext;
  readonly lifeCycle: LifeCycle;
  /** Ends a start that waits for the disk. */
  readonly cancelStart: () => void;
}

/** Creates a store, which keeps turns and budgets on its host's disk. */
export function createStoreNode(options: Omit<NodeContextOptions, 'kind'>): StoreNode {
  const context = new NodeContext({ ...options, kind: 'store' });
  const { clock, logger, metrics, random } = context;
  const store: RecoveringStore = new RecoveringStore({
    ...{ name: 'turns', clock, logger },
    openStore: () => context.openStore('turns'),
    snapshot: () => journal.snapshot(),
  });
  const journal: TurnJournal = new TurnJournal(store, random);
  metrics.gauge('storage_usable', () => Number(store.isUsable));
  metrics.gauge('turns', () => journal.table.turnCount);
  metrics.gauge('turn_bytes', () => journal.table.turnBytes);
  const serving = new ServingStore(context, journal);
  const lifeCycle = new LifeCycle();
  lifeCycle.add('log', context.logOutput);
  lifeCycle.add('pause-monitor', new PauseMonitor(context));
  context.addMetricsEndpoint(lifeCycle);
  lifeCycle.add('store', serving);
  const cancelStart = () => {
    void serving.cancelStart();
  };
  return { context, lifeCycle, cancelStart };
}

/** The components of a store that need what is on its disk. */
class ServingStore implements Component {
  readonly #context: NodeContext;
  readonly #journal: TurnJournal;
  #lifeCycle = new LifeCycle();
  #isCancelled = false;

  constructor(context: NodeContext, journal: TurnJournal) {
    this.#context = context;
    this.#journal = journal;
  }

  async start(): Promise<void> {
    await this.#openJournal();
    this.#lifeCycle = this.#createLifeCycle();
    await this.#lifeCycle.start();
  }

  stop(): Promise<void> {
    return this.#lifeCycle.stop();
  }

  async cancelStart(): Promise<void> {
    this.#isCancelled = true;
    await this.#journal.close();
  }

  /** Waits until the disk can be read and takes the id of its data. */
  async #openJournal(): Promise<void> {
    const { clock, logger } = this.#context;
    for (;;) {
      try {
        await this.#journal.open();
        return;
      } catch (error) {
        if (this.#isCancelled) throw error;
        logger.warn({ event: 'journal-not-opened', error: messageOf(error) });
      }
      await delay(clock, OPEN_RETRY_MILLISECONDS);
    }
  }

  #createLifeCycle(): LifeCycle {
    const context = this.#context;
    const journal = this.#journal;
    const { clock, random, logger, metrics, view, configuration, peers } = context;
    const self: NodeInfo = {
      ...context.describeSelf(false, journal.dataLife),
      // Another one after damaged files were moved away while the process runs.
      get dataLife() {
        return journal.dataLife;
      },
    };
    const backfill = new Backfill({ self: self.name, journal, peers, clock, random, logger });
    const { turnsBytes, largeTurnsBytes, writingBytes } = context.limits;
    const memory = { turnsBytes, largeTurnsBytes, writingBytes, reclaimer: context.reclaimer };
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
    const lifeCycle = new LifeCycle();
    lifeCycle.add('peers', context.peers);
    lifeCycle.add('store', store);
    lifeCycle.add(
      'rpc-server',
      context.createRpcServer([service.calls, store.calls], [service.casts, store.casts]),
    );
    lifeCycle.add('heartbeat', heartbeatSender);
    return lifeCycle;
  }
}
