import {
  type Clock,
  LifeCycle,
  type Logger,
  Metrics,
  PeriodicTask,
  PlannedStop,
  type RandomSource,
  delay,
} from '../core';
import { ActiveConfiguration } from '../configuration';
import {
  ControlClient,
  HttpListener,
  ControlSession,
  type WatchChanges,
  applyConfigurationChange,
  handleHealthRequest,
} from '../protocol';
import { createObservedResponseMemory } from '../resources';
import { type SidecarSettings, drainMilliseconds } from '../settings';
import { TargetProxy } from './target-proxy';
import { isEngine, readEngineLoad } from './load';
import { OrderRunner } from './orders';
import { TargetClient } from './target-client';
import { TargetLoad } from './target-load';

export interface SidecarProcessOptions {
  readonly settings: SidecarSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/**
 * Time for the entries to learn that the target leaves. Meanwhile their calls are refused as not run; a
 * call that meets a closing connection may count as run.
 */
const LEAVING_NOTICE_MILLISECONDS = 500;

/** A part of the 64 MB that a process beside a target may take. */
const RESPONSE_MEMORY_BYTES = 8 * 1024 * 1024;

/** Delay before failed orders are requested again. */
const ORDER_RETRY_DELAY_MILLISECONDS = 500;

/** Creates the sidecar of one target; the returned life cycle starts and stops it. */
export function createSidecarProcess(options: SidecarProcessOptions): LifeCycle {
  const { settings, clock, random, logger } = options;
  const { host, cluster, sidecar } = settings;
  const credential = cluster['process-credential'];
  const incarnation = random.hex(8);
  const metrics = new Metrics();
  const configuration = new ActiveConfiguration();
  const targetClient = new TargetClient(sidecar['target-address'], clock);
  const controlClient = new ControlClient({ members: cluster.control, credential, clock });
  const load = new TargetLoad({ clock, reportMilliseconds: sidecar['load-milliseconds'] });
  let draining = false;

  const proxy = new TargetProxy({
    client: targetClient,
    incarnation,
    credential,
    maxConcurrentCalls: sidecar['calls-at-once'],
    responseMemory: createObservedResponseMemory({
      capacityBytes: RESPONSE_MEMORY_BYTES,
      waitingLimit: sidecar['calls-at-once'],
      ...{ clock, logger, metrics },
    }),
    logger,
    metrics,
    load: () => load.current,
    onRunningChange: (running) => {
      load.recordForwarded(running);
    },
  });
  metrics.gauge('calls_running', () => proxy.running);
  const orders = new OrderRunner({
    client: targetClient,
    logger,
    fetchHighestTerm: async () => {
      const replies = await controlClient.queryQuorum((connection, signal) =>
        connection.groups.knownTerm.query(undefined, { signal }),
      );
      return Math.max(...replies.map((reply) => reply.term));
    },
    confirm: async (completed) => {
      await controlClient.call((connection, signal) =>
        connection.nodes.confirmOrders.mutate({ orders: [...completed] }, { signal }),
      );
    },
  });
  const onChanges = async (changes: WatchChanges) => {
    applyConfigurationChange(configuration, changes, controlSession, logger);
    if (changes.orders.length === 0) return;
    const allCompleted = await orders.run(changes.orders, changes.term);
    if (!allCompleted) await delay(clock, ORDER_RETRY_DELAY_MILLISECONDS);
  };
  const controlSession = new ControlSession({
    client: controlClient,
    clock,
    logger,
    heartbeatMilliseconds: sidecar['heartbeat-milliseconds'],
    createHeartbeat: () => ({
      kind: 'sidecar',
      name: host.name,
      incarnation,
      state: draining || !listener.isListening ? 'leaving' : 'serving',
      configurationNumber: configuration.number,
      target: sidecar.target,
      load: load.current,
    }),
    watchPosition: () => ({
      configurationNumber: configuration.deltaBaseNumber,
      target: sidecar.target,
    }),
    onChanges,
  });
  const listener = new HttpListener({
    address: host.address,
    clock,
    logger,
    handle: (request, response) => {
      const notReady = () => (draining ? 'the target is leaving' : undefined);
      if (handleHealthRequest({ notReady, metrics }, request, response)) return;
      proxy.handle(request, response);
    },
  });

  const lifeCycle = new LifeCycle();
  lifeCycle.add('target-client', targetClient);
  lifeCycle.add('control-client', controlClient);
  lifeCycle.add('listener', listener);
  lifeCycle.add(
    'load',
    new PeriodicTask(clock, sidecar['load-milliseconds'], async () => {
      const reports = isEngine(configuration.current, sidecar.target);
      load.recordReport(reports ? await readEngineLoad(targetClient, logger) : undefined);
    }),
  );
  lifeCycle.add('presence', controlSession);
  lifeCycle.add('drain', {
    stop: async () => {
      draining = true;
      proxy.refuseNew();
      const heartbeat = controlSession.sendHeartbeat();
      const plannedStop = new PlannedStop({
        clock,
        drainMilliseconds: drainMilliseconds(host['stop-seconds']),
        acceptMilliseconds: listener.hasConnections ? LEAVING_NOTICE_MILLISECONDS : 0,
      });
      await plannedStop.drain({
        refuseNew: () => void listener.finish(),
        endRunning: () => {
          proxy.endRunning();
        },
        whenIdle: async () => {
          await Promise.all([heartbeat, proxy.whenIdle()]);
        },
      });
    },
  });
  return lifeCycle;
}
