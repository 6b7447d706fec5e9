import { type Clock, LifeCycle, type Logger, Metrics, type RandomSource } from '../core';
import { LatencyHistograms } from '../core/latency-histograms';
import { ControlClient, HttpListener, handleHealthRequest } from '../protocol';
import { ControlListener } from '../protocol/control-listener';
import type { Envelope, LogView, ReplicatedLog } from '../replication';
import { type ControlSettings, programGroups } from '../settings';
import {
  CONFIGURATION_GROUP,
  type ConfigurationResult,
  ConfigurationStateMachine,
  ProgramStateMachine,
} from '../state';
import type { ContentStore, RecordStore } from '../storage';
import { notifyChange } from './change-notifications';
import {
  type GroupContext,
  type ProgramGroupReplica,
  createContentStore,
  createGroupLog,
} from './group-log';
import { HostListReader } from './host-list-reader';
import { EntryLiveness } from './entry-liveness';
import { LeavingHosts } from './leaving-hosts';
import { CHANGE_KEYS, ChangeNotifier } from './change-notifier';
import { PendingOrders } from './pending-orders';
import { OrderRelay } from './order-relay';
import { RestartingHost } from './restarting-host';
import { ProgramService } from './program-service';
import { NodeRegistry } from './node-registry';
import { ControlService } from './control-service';
import { createProgramSweep, createTargetSweep } from './sweep-tasks';
import { SharedTicker } from './shared-ticker';
import { ControlTransport } from './control-transport';

export interface ControlProcessOptions {
  readonly settings: ControlSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Log store of a group; by default a file store in the data folder. */
  readonly storeFor?: (group: string) => RecordStore;
  /** Called after damage to the stored data has been logged. */
  readonly onFailure?: () => void;
}

interface ControlHostOptions extends ControlProcessOptions {
  /** Called after a write that the disk has refused was logged. */
  readonly onRefusedWrite: () => void;
}

/** Creates a control host; the returned life cycle starts and stops it. */
export function createControlProcess(options: ControlProcessOptions): LifeCycle {
  const create = (onRefusedWrite: () => void) => {
    const host = new LifeCycle();
    new ControlHost({ ...options, onRefusedWrite }).addComponentsTo(host);
    return host;
  };
  const lifeCycle = new LifeCycle();
  lifeCycle.add('host', new RestartingHost({ ...options, create }));
  return lifeCycle;
}

/** This host's replica of a program group, with the tasks that it runs while it leads the group. */
interface HostedProgramGroup extends ProgramGroupReplica {
  readonly contents: ContentStore;
  readonly relay: OrderRelay;
}

class ControlHost {
  readonly #options: ControlHostOptions;
  readonly #metrics = new Metrics(new LatencyHistograms());
  readonly #orders = new PendingOrders();
  readonly #notifier: ChangeNotifier;
  readonly #client: ControlClient;
  readonly #registry: NodeRegistry;
  readonly #transport: ControlTransport;
  readonly #ticker: SharedTicker;
  readonly #groupContext: GroupContext;
  readonly #configuration: ConfigurationStateMachine;
  readonly #configurationLog: ReplicatedLog<ConfigurationResult>;
  readonly #leavingHosts: LeavingHosts;
  readonly #groups: readonly HostedProgramGroup[];

  constructor(options: ControlHostOptions) {
    this.#options = options;
    const { settings, clock, logger } = options;
    const { host, cluster, control } = settings;
    const credential = cluster['process-credential'];
    this.#notifier = new ChangeNotifier(clock);
    this.#client = new ControlClient({ members: cluster.control, credential, clock });
    this.#registry = new NodeRegistry(control['session-milliseconds']);
    this.#ticker = new SharedTicker(clock, control['heartbeat-milliseconds'] / 2);
    this.#transport = new ControlTransport({
      client: this.#client,
      clock,
      logger,
      receive: ({ group, envelopes }) => {
        this.#logOf(group)?.receive(envelopes);
      },
    });
    this.#groupContext = {
      ...options,
      transport: this.#transport,
      ticker: this.#ticker,
      onRefusedWrite: options.onRefusedWrite,
      onDamage: () => options.onFailure?.(),
    };
    this.#configuration = new ConfigurationStateMachine(() => {
      this.#notifier.notify(CHANGE_KEYS.configuration);
      this.#leavingHosts.publish();
    });
    this.#configurationLog = this.#createConfigurationLog();
    this.#leavingHosts = new LeavingHosts({
      log: this.#configurationLog,
      machine: this.#configuration,
      registry: this.#registry,
      notifier: this.#notifier,
      logger,
    });
    this.#groups = programGroups(cluster)
      .filter((group) => group.hosts.includes(host.name))
      .map((group) => this.#createGroup(group.name, group.hosts));
  }

  /**
   * Adds the components in start order. They stop in reverse order: the logs stop while the
   * transport and the listener still run.
   */
  addComponentsTo(lifeCycle: LifeCycle): void {
    const { host, cluster, control } = this.#options.settings;
    const listener = this.#createListener(host.address);
    lifeCycle.add('client', this.#client);
    lifeCycle.add('listener', listener);
    lifeCycle.add(
      'control-listener',
      new ControlListener({
        listener,
        api: this.#createService(),
        processCredential: cluster['process-credential'],
        operatorCredential: control['operator-credential'],
      }),
    );
    lifeCycle.add('transport', this.#transport);
    lifeCycle.add('notifier', this.#notifier);
    lifeCycle.add('ticker', this.#ticker);
    lifeCycle.add(CONFIGURATION_GROUP, this.#configurationLog);
    lifeCycle.add('target-sweep', this.#createTargetSweep());
    for (const group of this.#groups) this.#addGroup(lifeCycle, group);
    this.#addHostListReader(lifeCycle);
    // Added last, so that it stops first: the leadership of all groups is transferred concurrently.
    lifeCycle.add('leadership-transfer', { stop: () => this.#transferLeadership() });
    this.#registerGauges();
  }

  #addGroup(lifeCycle: LifeCycle, group: HostedProgramGroup): void {
    const { settings, clock, logger } = this.#options;
    lifeCycle.add(`${group.name} contents`, {
      start: () => group.contents.open(),
      stop: () => group.contents.close(),
    });
    lifeCycle.add(group.name, group.log);
    lifeCycle.add(`${group.name} orders`, group.relay);
    lifeCycle.add(
      `${group.name} sweep`,
      createProgramSweep({ settings: settings.control, clock, logger, group }),
    );
  }

  #addHostListReader(lifeCycle: LifeCycle): void {
    const { settings, clock, logger } = this.#options;
    if (settings.platform === undefined) return;
    const reader = new HostListReader({
      address: settings.platform['host-list'],
      intervalMilliseconds: settings.platform['host-list-milliseconds'],
      clock,
      logger,
      isEnabled: () => this.#configurationLog.serves,
      onHosts: (leaving, live) => this.#leavingHosts.update(leaving, live),
    });
    lifeCycle.add('host-list', reader);
  }

  #createConfigurationLog(): ReplicatedLog<ConfigurationResult> {
    const { settings, clock } = this.#options;
    let wasLeader = false;
    return createGroupLog(this.#groupContext, {
      name: CONFIGURATION_GROUP,
      hosts: settings.cluster.control.map((member) => member.name),
      machine: this.#configuration,
      onChange: ({ role }) => {
        if (role === 'leader' && !wasLeader) {
          this.#registry.reset(clock.monotonic());
          this.#leavingHosts.publish();
          this.#orders.reset();
        }
        wasLeader = role === 'leader';
        this.#notifier.notifyAll();
      },
    });
  }

  #createGroup(name: string, hosts: readonly string[]): HostedProgramGroup {
    const { settings, clock, logger } = this.#options;
    const contents = createContentStore(this.#groupContext, name);
    const machine = new ProgramStateMachine(contents, (command) => {
      notifyChange(this.#notifier, command, () => void relay.offer());
    });
    const log = createGroupLog(this.#groupContext, {
      name,
      hosts,
      machine,
      onChange: () => {
        this.#notifier.notifyAll();
      },
    });
    const relay = new OrderRelay({
      group: { name, log, machine, contents },
      client: this.#client,
      clock,
      logger,
      retryIntervalMilliseconds: settings.control['sweep-milliseconds'],
    });
    return { name, log, machine, contents, relay };
  }

  #createListener(address: ControlSettings['host']['address']): HttpListener {
    const source = { notReady: () => this.#notReady, metrics: this.#metrics };
    const { clock, logger } = this.#options;
    return new HttpListener({
      address,
      clock,
      logger,
      handle: (request, response) => {
        if (handleHealthRequest(source, request, response)) return;
        response.writeHead(404).end();
      },
    });
  }

  #createService(): ControlService {
    const { settings, clock, logger } = this.#options;
    return new ControlService({
      self: settings.host.name,
      log: this.#configurationLog,
      machine: this.#configuration,
      programs: this.#createProgramServices(),
      groupNames: programGroups(settings.cluster).map((group) => group.name),
      exchange: (group, envelopes) => this.#exchange(group, envelopes),
      client: this.#client,
      registry: this.#registry,
      orders: this.#orders,
      notifier: this.#notifier,
      clock,
      logger,
    });
  }

  #createProgramServices(): ReadonlyMap<string, ProgramService> {
    const { settings, clock, logger } = this.#options;
    const liveness = new EntryLiveness({ client: this.#client, clock, logger });
    const services = this.#groups.map((group): [string, ProgramService] => [
      group.name,
      new ProgramService({
        self: settings.host.name,
        group,
        configuration: this.#configuration,
        liveness,
        notifier: this.#notifier,
        clock,
        metrics: this.#metrics,
      }),
    ]);
    return new Map(services);
  }

  #createTargetSweep() {
    const { settings, clock } = this.#options;
    return createTargetSweep({
      intervalMilliseconds: settings.control['sweep-milliseconds'],
      clock,
      log: this.#configurationLog,
      machine: this.#configuration,
      registry: this.#registry,
      notifier: this.#notifier,
    });
  }

  async #transferLeadership(): Promise<void> {
    const logs = [this.#configurationLog, ...this.#groups.map((group) => group.log)];
    await Promise.all(logs.map((log) => log.transferLeadership()));
  }

  #logOf(group: string): LogView | undefined {
    if (group === CONFIGURATION_GROUP) return this.#configurationLog;
    return this.#groups.find((entry) => entry.name === group)?.log;
  }

  async #exchange(group: string, envelopes: readonly Envelope[]): Promise<readonly Envelope[]> {
    return this.#logOf(group)?.exchange(envelopes) ?? [];
  }

  get #notReady(): string | undefined {
    const logs = [this.#configurationLog, ...this.#groups.map((group) => group.log)];
    const allLeadersKnown = logs.every((log) => log.leader !== undefined);
    return allLeadersKnown ? undefined : 'a group has no known leader';
  }

  #registerGauges(): void {
    const sum = (value: (group: HostedProgramGroup) => number) => () =>
      this.#groups.reduce((total, group) => total + value(group), 0);
    this.#metrics.gauge('configuration_term', () => this.#configurationLog.term);
    this.#metrics.gauge('configuration_number', () => this.#configuration.number);
    this.#metrics.gauge(
      'groups_led',
      sum(({ log }) => Number(log.role === 'leader')),
    );
    this.#metrics.gauge(
      'replication_applied_total',
      sum(({ log }) => log.appliedIndex),
    );
    this.#metrics.gauge(
      'programs',
      sum(({ machine }) => machine.tables.programs.size),
    );
    this.#metrics.gauge(
      'pending_orders',
      sum(({ machine }) => machine.tables.orders.size),
    );
  }
}
