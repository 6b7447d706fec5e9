import { ActiveConfiguration } from '../configuration';
import {
  type Clock,
  LifeCycle,
  type Logger,
  Metrics,
  PlannedStop,
  type RandomSource,
} from '../core';
import { LatencyHistograms } from '../core/latency-histograms';
import { HttpClient } from '../http';
import {
  ControlClient,
  HttpListener,
  ControlSession,
  type WatchChanges,
  applyConfigurationChange,
} from '../protocol';
import { WAITING_RESPONSE_BYTES, createObservedResponseMemory } from '../resources';
import { createRoutingPolicy } from '../routing';
import { type EntrySettings, drainMilliseconds, programGroups } from '../settings';
import type { EntryContext } from './context';
import { TargetDirectory } from './directory';
import { ProgramIdGenerator } from './program-ids';
import { RequestStop } from './request-stop';
import { EntryServer } from './server';
import { SidecarClient } from './sidecar-client';

const MEGABYTE = 1024 * 1024;

export interface EntryProcessOptions {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Creates the components of an entry process; the returned life cycle starts and stops them. */
export function createEntryProcess(options: EntryProcessOptions): LifeCycle {
  const { settings, clock, random, logger } = options;
  const { host, cluster, entry } = settings;
  const credential = cluster['process-credential'];
  const incarnation = random.hex(8);
  const metrics = new Metrics(new LatencyHistograms());
  const configuration = new ActiveConfiguration();
  const directory = new TargetDirectory(host['availability-zone'], clock);
  const control = new ControlClient({ members: cluster.control, credential, clock });
  const sidecars = new SidecarClient(credential);
  const capacityBytes = entry['answer-memory-megabytes'] * MEGABYTE;
  const responseMemory = createObservedResponseMemory({
    capacityBytes,
    waitingLimit: Math.floor(capacityBytes / WAITING_RESPONSE_BYTES),
    ...{ clock, logger, metrics },
  });
  const oldAddresses = new HttpClient();
  const plannedStop = new PlannedStop({
    clock,
    drainMilliseconds: drainMilliseconds(host['stop-seconds']),
    acceptMilliseconds: entry['stop-accept-seconds'] * 1000,
  });
  const context: EntryContext = {
    identity: `${host.name}/${incarnation}`,
    settings: entry,
    configuration,
    control,
    directory,
    sidecars,
    responseMemory,
    oldAddresses,
    programIds: new ProgramIdGenerator({
      groups: programGroups(cluster),
      availabilityZone: host['availability-zone'],
      random,
    }),
    policy: createRoutingPolicy(entry.policy),
    clock,
    random,
    logger,
    metrics,
    stop: new RequestStop(plannedStop),
  };
  const onChanges = (changes: WatchChanges) => {
    if (changes.directory !== undefined) directory.update(changes.directory);
    applyConfigurationChange(configuration, changes, controlSession, logger);
  };
  const controlSession = new ControlSession({
    client: control,
    clock,
    logger,
    heartbeatMilliseconds: entry['heartbeat-milliseconds'],
    createHeartbeat: () => ({
      kind: 'entry',
      name: host.name,
      incarnation,
      state: plannedStop.hasBegun ? 'leaving' : 'serving',
      configurationNumber: configuration.number,
    }),
    watchPosition: () => ({
      configurationNumber: configuration.deltaBaseNumber,
      directory: directory.position,
    }),
    onChanges,
  });
  const server = new EntryServer(context);
  metrics.gauge('requests_running', () => server.running);
  metrics.gauge('targets_serving', () => directory.servingCount);
  metrics.gauge('configuration_number', () => configuration.number);
  const listener = new HttpListener({
    address: host.address,
    clock,
    logger,
    handle: server.handle,
    headerLimitBytes: entry['header-limit-bytes'],
  });

  const lifeCycle = new LifeCycle();
  lifeCycle.add('control-client', control);
  lifeCycle.add('sidecar-client', sidecars);
  lifeCycle.add('old-address-client', oldAddresses);
  lifeCycle.add('presence', controlSession);
  lifeCycle.add('listener', listener);
  lifeCycle.add('drain', {
    stop: async () => {
      server.closeConnectionsAfterResponses();
      await plannedStop.drain({
        refuseNew: () => {
          server.refuseNew();
          void listener.finish();
        },
        endRunning: () => {
          server.endRunning();
        },
        whenIdle: () => server.whenIdle(),
      });
    },
  });
  return lifeCycle;
}
