import type { IncomingMessage, ServerResponse } from 'node:http';
import { type ClusterClient, LeaderConfirmation, unpackText } from '../cluster';
import {
  type Clock,
  type Issue,
  LifeCycle,
  type Logger,
  type Metrics,
  PlannedStop,
  formatIssue,
  parseAddress,
} from '../core';
import type { TargetProber } from '../crashes';
import { createPlacementPolicies, newConnectionMilliseconds } from '../decisions';
import {
  Forwarder,
  GatewayServer,
  Sender,
  StopGate,
  TurnHandler,
  TurnPreparer,
  type WireFormat,
} from '../gateway';
import type { MemoryBudget, MemoryReclaimer } from '../resources';
import { QuotaAllocator } from '../quotas';
import { type RouteConfiguration, RouteTable } from '../routes';
import { drainMilliseconds } from '../settings/stop-time';
import {
  SharedTargetSource,
  TargetChooser,
  TargetConnectionPool,
  TargetDirectory,
  type TargetSource,
  DurationAverages,
} from '../targets';
import { ChainCache, QuorumMonitor, TurnClient } from '../turns';
import { createCrashControl } from './crash-control';
import { DrainableGroup } from './drainable-group';
import { createEngineSharing } from './engine-sharing';
import { withoutBody } from './http-endpoint';
import { NodeContext, type NodeContextOptions } from './node-context';
import { PauseMonitor } from './pause-monitor';
import type { NodeSettings } from './node-settings';
import { createTeamAccessControl } from './team-access-control';

/**
 * Time after the stop signal during which new requests are still accepted: the platform stops
 * routing to a process only after two failed readiness checks, one second apart.
 */
const DRAIN_ACCEPT_MILLISECONDS = 2500;

export type ParsedConfiguration =
  | { readonly kind: 'valid'; readonly configuration: RouteConfiguration }
  | { readonly kind: 'invalid'; readonly issues: readonly Issue[] };

export interface TargetSourceOptions {
  readonly settings: NodeSettings;
  /** Whether the configuration has a service; true for every service while it is unknown. */
  readonly isKnownService: (service: string) => boolean;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export interface TargetProberOptions {
  readonly clock: Clock;
  /** Path of the liveness check of a service's targets; undefined if they have none. */
  readonly healthPathOf: (service: string) => string | undefined;
}

export interface OperatorHandlerOptions {
  readonly client: ClusterClient;
  /** Memory for the bodies of the calls. */
  readonly budget: MemoryBudget;
  readonly reclaimer: MemoryReclaimer;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A platform's headers, configuration format, target list and operator calls. */
export interface PlatformAdapter {
  readonly wire: WireFormat;
  parseConfiguration(text: string): ParsedConfiguration;
  createTargetSource(options: TargetSourceOptions): TargetSource;
  createTargetProber(options: TargetProberOptions): TargetProber;
  createOperatorHandler(
    options: OperatorHandlerOptions,
  ): (request: IncomingMessage, response: ServerResponse) => Promise<void>;
}

export interface GatewayNodeOptions extends Omit<NodeContextOptions, 'kind'> {
  readonly platform: PlatformAdapter;
}

export interface GatewayNode {
  readonly context: NodeContext;
  readonly lifeCycle: LifeCycle;
  /** Transfers leadership and lets the requests in flight end, within `stop-seconds`. */
  readonly drain: () => Promise<void>;
}

/** Creates a gateway; on a host with a disk it also keeps a replica of the cluster's state. */
export function createGatewayNode(options: GatewayNodeOptions): GatewayNode {
  const { platform, settings } = options;
  const { decisions: switches } = settings;
  const context = new NodeContext({ ...options, kind: 'gateway' });
  const { clock, random, logger, metrics, view, configuration, peers, directory } = context;
  const keepsClusterState = settings.node['data-folder'] !== undefined;
  const self = context.describeSelf(keepsClusterState, '');
  const status = () => ({
    configurationVersion: configuration.version,
    viewEpoch: view.version,
    completeFor: 0,
  });
  let table: RouteTable | undefined;
  const bootstrap = context.createBootstrap(self);
  const replicaComponents = keepsClusterState
    ? context.createReplicaComponents(self, bootstrap)
    : undefined;
  const confirmation = new LeaderConfirmation(clock);
  const isLeader = () => replicaComponents?.replica.serves === true;
  const heartbeatSender = context.createHeartbeatSender(self, status, {
    confirmation,
    isLeader,
  });
  const quotaAllocator = new QuotaAllocator({ teams: () => table?.teams, clock, logger });
  const clusterServiceOptions = {
    status,
    heartbeatSender,
    bootstrap,
    replicaComponents,
    quotas: quotaAllocator,
  };
  const service = context.createClusterService(self, clusterServiceOptions);
  const client = context.createClusterClient(self, heartbeatSender, service);

  const isKnownService = (name: string) => table === undefined || table.service(name) !== undefined;
  const source = new SharedTargetSource({
    self,
    directory,
    source: platform.createTargetSource({ settings, isKnownService, logger, metrics }),
    peers,
    callsPerSecond: settings['target-list']['calls-per-second'],
    sharesReading: switches['list-reader'],
    clock,
    logger,
    metrics,
  });
  const targets = new TargetDirectory({ source, clock, random, logger });
  const connections = new TargetConnectionPool(logger, metrics);
  targets.onDraining((state) => {
    connections.closeIdle(state);
  });
  const { 'availability-zone': availabilityZone, 'processor-share': processorShare } =
    settings.node;
  const connectionCost =
    processorShare === undefined || !switches['connection-reuse']
      ? undefined
      : { connections, newConnectionMilliseconds: newConnectionMilliseconds(processorShare) };
  const chooser = new TargetChooser({ targets, availabilityZone, connectionCost, clock, random });
  const durations = new DurationAverages();
  const engineSharing = createEngineSharing({
    ...{ context, self, targets, chooser, durations, routes: () => table },
  });
  const teamAccessControlOptions = { context, self, client, confirmation, routes: () => table };
  const { keyGuard, quotas, quotaGate } = createTeamAccessControl(teamAccessControlOptions);
  const prober = platform.createTargetProber({
    clock,
    healthPathOf: (name) => table?.service(name)?.healthPath,
  });
  const crashControl = createCrashControl({ context, self, targets, prober });
  const plannedStop = new PlannedStop({
    clock,
    drainMilliseconds: drainMilliseconds(settings.node['stop-seconds']),
    acceptMilliseconds: DRAIN_ACCEPT_MILLISECONDS,
  });
  const stopGate = new StopGate({ plannedStop, durations });
  const forwarder = new Forwarder({
    targets,
    chooser,
    placementPolicies: createPlacementPolicies(switches),
    sender: new Sender({
      ...{ wire: platform.wire, connections, durations, switches, clock, metrics },
      ...{ memory: context.responseMemory, reclaimer: context.reclaimer },
    }),
    keyGuard,
    crashGuard: switches['crash-limit'] ? crashControl.guard : undefined,
    stopGate,
    durations,
    switches,
    clock,
    random,
    metrics,
  });
  const cache = new ChainCache(context.limits.chainCacheBytes);
  const quorumMonitor = new QuorumMonitor({ view, peers, clock, logger });
  const turnClientOptions = {
    availabilityZone,
    view,
    cache,
    quorumMonitor,
    peers,
    clock,
    logger,
    metrics,
  };
  const turns = new TurnClient(turnClientOptions);
  const preparer = new TurnPreparer({ turns, quorumMonitor, clock });
  const { engineAdmission } = engineSharing;
  const turnHandler = new TurnHandler({
    ...{ forwarder, preparer, quotaGate, engineAdmission, turns, chooser, clock, metrics },
  });
  const isServing = () => table !== undefined && targets.isLoaded && quorumMonitor.reachesQuorum;
  const isReady = () =>
    !plannedStop.hasBegun && server.isListening && isServing() && keyGuard.isConfirmed;
  const server = new GatewayServer({
    address: parseAddress(settings.listen.callers ?? ''),
    wire: platform.wire,
    forwarder,
    turnHandler,
    keyGuard,
    quotaGate,
    stopGate,
    routes: () => table,
    confirmation,
    isReady,
    budget: context.bodyBudget,
    reclaimer: context.reclaimer,
    connectionLimit: context.limits.connections.callers,
    clock,
    logger,
    metrics,
  });
  configuration.onChange(({ version, text }) => {
    const startedAt = clock.monotonic();
    const parsed = platform.parseConfiguration(unpackText(text));
    if (parsed.kind === 'invalid') {
      const issues = parsed.issues.map(formatIssue);
      logger.error({ event: 'configuration-unreadable', version, issues });
      return;
    }
    table = new RouteTable(parsed.configuration);
    server.applyLimits(parsed.configuration.limits);
    logger.info({
      event: 'configuration-applied',
      version,
      routes: parsed.configuration.routes.length,
      milliseconds: Math.round(clock.monotonic() - startedAt),
    });
  });

  const lifeCycle = new LifeCycle();
  lifeCycle.add('log', context.logOutput);
  lifeCycle.add('pause-monitor', new PauseMonitor(context));
  lifeCycle.add('peers', peers);
  lifeCycle.add('turns', turns);
  lifeCycle.add('connections', connections);
  if (keepsClusterState) lifeCycle.add('cluster-state-cache', context.createClusterStateCache());
  if (replicaComponents !== undefined) lifeCycle.add('cluster-state', replicaComponents.replica);
  lifeCycle.add(
    'rpc-server',
    context.createRpcServer(
      [service.calls, source.calls, crashControl.calls],
      [service.casts, ...engineSharing.casts, crashControl.casts],
    ),
  );
  lifeCycle.add('cluster-service', service);
  lifeCycle.add('heartbeat', heartbeatSender);
  if (replicaComponents !== undefined)
    lifeCycle.add('view-controller', replicaComponents.viewController);
  lifeCycle.add('quorum-monitor', quorumMonitor);
  lifeCycle.add('targets', targets);
  lifeCycle.add('quotas', quotas);
  engineSharing.addTo(lifeCycle);
  crashControl.addTo(lifeCycle);
  const { readiness, operators } = settings.listen;
  const answerReadiness = withoutBody(context, (response) => {
    response.statusCode = isReady() ? 200 : 503;
    response.end();
  });
  context.addHttpEndpoint(lifeCycle, 'readiness', readiness, answerReadiness);
  const { operatorBudget: budget, reclaimer } = context;
  const operatorHandler = platform.createOperatorHandler({
    ...{ client, budget, reclaimer, clock, logger },
  });
  const operatorEndpoint = context.addHttpEndpoint(
    lifeCycle,
    'operators',
    operators,
    operatorHandler,
  );
  lifeCycle.add('gateway', server);
  context.addMetricsEndpoint(lifeCycle);

  return {
    context,
    lifeCycle,
    drain: async () => {
      const leadershipTransfer = replicaComponents?.replica.transferLeadership();
      const endpoints = operatorEndpoint === undefined ? [] : [operatorEndpoint];
      await plannedStop.drain(new DrainableGroup([server, ...endpoints]));
      await leadershipTransfer;
    },
  };
}
