import type { IncomingMessage, ServerResponse } from 'node:http';
import { type ClusterClient, Confirmation } from '../cluster';
import {
  type Clock,
  type Issue,
  LifeCycle,
  type Logger,
  delay,
  formatIssue,
  parseAddress,
} from '../core';
import { createPlacers } from '../decisions';
import { Forwarder, GatewayServer, Sender, TurnHandler, TurnPreparer, type Wire } from '../gateway';
import { QuotaHolder } from '../quotas';
import { type RouteConfiguration, RouteTable } from '../routes';
import {
  LoadExchange,
  SharedTargetSource,
  TargetChooser,
  TargetConnections,
  TargetDirectory,
  type TargetSource,
  UsualDurations,
} from '../targets';
import { ChainCache, StoreWatch, TurnClient } from '../turns';
import { HttpEndpoint } from './http-endpoint';
import { NodeParts, type NodePartsOptions } from './node';
import { PauseWatch } from './pause-watch';
import type { NodeSettings } from './settings';
import { createTeamParts } from './team-parts';

/** Bytes of whole turns that a gateway keeps in memory, so that it need not fetch them. */
const CHAIN_CACHE_BYTES = 24 * 1024 * 1024;

/**
 * Time after the signal to stop in which requests are still taken: the platform looks once a
 * second and sends nobody after the second look, and what comes later might not end in time.
 */
const LEAVING_MILLISECONDS = 2500;

/** Part of the time to stop that is left for closing; milliseconds. */
const CLOSING_MILLISECONDS = 300;

/** Result of reading a configuration's text. */
export type ParsedConfiguration =
  | { readonly kind: 'valid'; readonly configuration: RouteConfiguration }
  | { readonly kind: 'invalid'; readonly issues: readonly Issue[] };

/** What a platform brings: how it writes what the product understands. */
export interface PlatformAdapter {
  readonly wire: Wire;
  parseConfiguration(text: string): ParsedConfiguration;
  createTargetSource(settings: NodeSettings, logger: Logger): TargetSource;
  /** Answers the operators' calls. */
  createOperatorHandler(
    client: ClusterClient,
    logger: Logger,
  ): (request: IncomingMessage, response: ServerResponse) => Promise<void>;
}

export interface GatewayNodeOptions extends Omit<NodePartsOptions, 'kind'> {
  readonly platform: PlatformAdapter;
}

/** A gateway with what is needed to stop it in time. */
export interface GatewayNode {
  readonly parts: NodeParts;
  readonly lifeCycle: LifeCycle;
  /** Finishes the requests under way before the process stops. */
  leave(): Promise<void>;
}

/** A process that takes callers' requests; on a host with a disk it keeps the cluster's state. */
export function createGatewayNode(options: GatewayNodeOptions): GatewayNode {
  const { platform, settings } = options;
  const { decisions: switches } = settings;
  const parts = new NodeParts({ ...options, kind: 'gateway' });
  const { clock, random, logger, metrics, view, configuration, peers, directory } = parts;
  const keepsClusterState = settings.node['data-folder'] !== undefined;
  const self = parts.describe(keepsClusterState, '');
  const status = () => ({
    configurationVersion: configuration.number,
    viewEpoch: view.number,
    completeFor: 0,
  });
  let table: RouteTable | undefined;
  const founding = parts.createFounding(self);
  const keeper = keepsClusterState ? parts.createKeeper(self, founding) : undefined;
  const confirmation = new Confirmation(clock);
  const leads = () => keeper?.member.serves === true;
  const greeter = parts.createGreeter(self, status, { confirmation, leads });
  const quotaHolder = new QuotaHolder({ teams: () => table?.teams, clock, logger });
  const serviceParts = { status, greeter, founding, keeper, quotas: quotaHolder };
  const service = parts.createService(self, serviceParts);
  const client = parts.createClient(self, greeter, service);

  const source = new SharedTargetSource({
    self,
    directory,
    source: platform.createTargetSource(settings, logger),
    peers,
    callsPerSecond: settings['target-list']['calls-per-second'],
    sharesReading: switches['list-reader'],
    clock,
    logger,
    metrics,
  });
  const targets = new TargetDirectory({ source, clock, random, logger });
  const connections = new TargetConnections(logger, metrics);
  targets.onLeaving((state) => {
    connections.forget(state);
  });
  const loads = new LoadExchange({ self, directory, targets, peers, clock, logger });
  const { 'availability-zone': availabilityZone } = settings.node;
  const chooser = new TargetChooser({ targets, availabilityZone, clock, random });
  const durations = new UsualDurations();
  const teamOptions = { parts, self, client, confirmation, routes: () => table };
  const { keyGuard, quotas, quotaGate } = createTeamParts(teamOptions);
  const forwarder = new Forwarder({
    targets,
    chooser,
    placers: createPlacers(switches),
    sender: new Sender({
      ...{ wire: platform.wire, connections, durations, switches, clock, metrics },
    }),
    keyGuard,
    durations,
    switches,
    clock,
    random,
    metrics,
  });
  const cache = new ChainCache(CHAIN_CACHE_BYTES);
  const quorumMonitor = new StoreWatch({ view, peers, clock, logger });
  const turnParts = { availabilityZone, view, cache, quorumMonitor, peers, clock, logger, metrics };
  const turns = new TurnClient(turnParts);
  const preparer = new TurnPreparer({ turns, watch: quorumMonitor, clock });
  const turnHandler = new TurnHandler({
    ...{ forwarder, preparer, quotaGate, turns, chooser, switches, clock, random, metrics },
  });
  let leaving = false;
  const isServing = () => table !== undefined && targets.isLoaded && quorumMonitor.reachesQuorum;
  const isReady = () => !leaving && isServing() && keyGuard.isConfirmed;
  const server = new GatewayServer({
    address: parseAddress(settings.listen.callers ?? ''),
    wire: platform.wire,
    forwarder,
    turnHandler,
    keyGuard,
    quotaGate,
    routes: () => table,
    isReady,
    clock,
    logger,
    metrics,
  });
  configuration.onChange(({ version, text }) => {
    const parsed = platform.parseConfiguration(text);
    if (parsed.kind === 'invalid') {
      const issues = parsed.issues.map(formatIssue);
      logger.error({ event: 'configuration-unreadable', version, issues });
      return;
    }
    table = new RouteTable(parsed.configuration);
    server.limit(parsed.configuration.limits);
  });

  const lifeCycle = new LifeCycle();
  lifeCycle.add('log', parts.logOutput);
  lifeCycle.add('pause-watch', new PauseWatch(parts));
  lifeCycle.add('peers', peers);
  lifeCycle.add('connections', connections);
  if (keepsClusterState) lifeCycle.add('known-state', parts.createKnownState());
  if (keeper !== undefined) lifeCycle.add('cluster-state', keeper.member);
  lifeCycle.add(
    'listener',
    parts.createListener([service.calls, source.calls], [service.casts, loads.casts]),
  );
  lifeCycle.add('cluster-service', service);
  lifeCycle.add('greeter', greeter);
  if (keeper !== undefined) lifeCycle.add('view-keeper', keeper.viewKeeper);
  lifeCycle.add('store-watch', quorumMonitor);
  lifeCycle.add('targets', targets);
  lifeCycle.add('quotas', quotas);
  if (switches['shared-loads']) lifeCycle.add('loads', loads);
  addEndpoint(parts, lifeCycle, settings.listen.readiness, (_request, response) => {
    response.statusCode = isReady() ? 200 : 503;
    response.end();
  });
  const operators = platform.createOperatorHandler(client, logger);
  addEndpoint(parts, lifeCycle, settings.listen.operators, operators);
  lifeCycle.add('gateway', server);
  parts.addMetrics(lifeCycle);

  return {
    parts,
    lifeCycle,
    leave: async () => {
      leaving = true;
      const handedOver = keeper?.member.handOver();
      const total = settings.node['stop-seconds'] * 1000 - CLOSING_MILLISECONDS;
      const stay = Math.min(LEAVING_MILLISECONDS, total / 2);
      await delay(clock, stay);
      server.refuseNew();
      await idleWithin(server, clock, total - stay);
      await handedOver;
    },
  };
}

/** Resolves when no request is under way any more, or after `milliseconds`. */
function idleWithin(server: GatewayServer, clock: Clock, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    const cancel = clock.after(milliseconds, resolve);
    void server.idle().then(() => {
      cancel();
      resolve();
    });
  });
}

function addEndpoint(
  { logger }: NodeParts,
  lifeCycle: LifeCycle,
  address: string | undefined,
  handle: (request: IncomingMessage, response: ServerResponse) => void | Promise<void>,
): void {
  if (address === undefined) return;
  lifeCycle.add(`endpoint ${address}`, new HttpEndpoint({ address, logger, handle }));
}
