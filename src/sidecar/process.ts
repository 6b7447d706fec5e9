import {
  type Clock,
  LifeCycle,
  type Logger,
  Metrics,
  PeriodicTask,
  type RandomSource,
  delay,
} from '../core';
import { ConfigurationInForce } from '../configuration';
import {
  ControlClient,
  HttpListener,
  type Load,
  Presence,
  type WatchChanges,
  adoptChanges,
  answerHealth,
} from '../protocol';
import type { SidecarSettings } from '../settings';
import { Gateway } from './gateway';
import { isEngine, readEngineLoad } from './load';
import { OrderRunner } from './orders';
import { TargetClient } from './target-client';

export interface SidecarProcessOptions {
  readonly settings: SidecarSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Pause before orders that failed are asked for again; milliseconds. */
const ORDER_RETRY_MILLISECONDS = 500;

/** Wires up the sidecar of one target; the life cycle that is returned starts and stops it. */
export function createSidecarProcess(options: SidecarProcessOptions): LifeCycle {
  const { settings, clock, random, logger } = options;
  const { host, cluster, sidecar } = settings;
  const credential = cluster['process-credential'];
  const incarnation = random.hex(8);
  const metrics = new Metrics();
  const configuration = new ConfigurationInForce();
  const targetClient = new TargetClient(sidecar['target-address'], clock);
  const control = new ControlClient({ members: cluster.control, credential, clock });
  let load: Load = { running: 0, waiting: 0 };
  let leaving = false;

  const gateway = new Gateway({
    client: targetClient,
    incarnation,
    credential,
    callsAtOnce: sidecar['calls-at-once'],
    logger,
    metrics,
    load: () => load,
  });
  metrics.gauge('calls_running', () => gateway.running);
  const orders = new OrderRunner({
    client: targetClient,
    logger,
    learnTerm: async () => {
      const answers = await control.askMajority((connection, signal) =>
        connection.groups.knownTerm.query(undefined, { signal }),
      );
      return Math.max(...answers.map((answer) => answer.term));
    },
    confirm: async (done) => {
      await control.call((connection, signal) =>
        connection.nodes.confirmOrders.mutate({ orders: [...done] }, { signal }),
      );
    },
  });
  const onChanges = async (changes: WatchChanges) => {
    adoptChanges(configuration, changes, presence, logger);
    if (changes.orders.length === 0) return;
    const complete = await orders.run(changes.orders, changes.term);
    if (!complete) await delay(clock, ORDER_RETRY_MILLISECONDS);
  };
  const presence = new Presence({
    client: control,
    clock,
    logger,
    heartbeatMilliseconds: sidecar['heartbeat-milliseconds'],
    describe: () => ({
      kind: 'sidecar',
      name: host.name,
      incarnation,
      state: leaving ? 'leaving' : 'serving',
      configurationNumber: configuration.number,
      target: sidecar.target,
      load,
    }),
    position: () => ({ configurationNumber: configuration.knownNumber, target: sidecar.target }),
    onChanges,
  });
  const listener = new HttpListener({
    address: host.address,
    handle: (request, response) => {
      const notReady = () => (leaving ? 'the target is leaving' : undefined);
      if (answerHealth({ notReady, metrics }, request, response)) return;
      gateway.handle(request, response);
    },
  });

  const lifeCycle = new LifeCycle();
  lifeCycle.add('target-client', targetClient);
  lifeCycle.add('control-client', control);
  lifeCycle.add('listener', listener);
  lifeCycle.add(
    'load',
    new PeriodicTask(clock, sidecar['load-milliseconds'], async () => {
      load = isEngine(configuration.current, sidecar.target)
        ? await readEngineLoad(targetClient, gateway, logger)
        : { running: gateway.running, waiting: 0 };
    }),
  );
  lifeCycle.add('presence', presence);
  lifeCycle.add('drain', {
    stop: async () => {
      leaving = true;
      const drained = gateway.drain();
      await presence.announce();
      await drained;
    },
  });
  return lifeCycle;
}
