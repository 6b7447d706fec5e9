import { type Clock, LifeCycle, type Logger, Metrics, type RandomSource } from '../core';
import { LatencyHistograms } from '../core/latency';
import { ControlClient, HttpListener, answerHealth } from '../protocol';
import { ControlListener } from '../protocol/control-listener';
import type { Envelope, LogView, ReplicatedLog } from '../replication';
import { type ControlSettings, programGroups } from '../settings';
import {
  type AcceptOutcome,
  CONFIGURATION_GROUP,
  ConfigurationStateMachine,
  ProgramStateMachine,
} from '../state';
import type { ContentStore, RecordStore } from '../storage';
import { announce } from './announce';
import { type GroupParts, type ProgramGroupMember, createContents, createGroupLog } from './group';
import { HostListReader } from './host-list';
import { EntryLiveness } from './liveness';
import { CHANGE_KEYS, Notifier } from './notifier';
import { OfferedOrders } from './offered-orders';
import { OrderRelay } from './order-relay';
import { ProgramService } from './program-service';
import { NodeRegistry } from './registry';
import { ControlService } from './service';
import { createProgramSweep, createTargetSweep } from './sweeper';
import { SharedTicker } from './ticker';
import { ControlTransport } from './transport';

export interface ControlProcessOptions {
  readonly settings: ControlSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** The store of a group; a file store under the data folder unless given. */
  readonly storeFor?: (group: string) => RecordStore;
  /** Called when the process can't go on, after the reason was logged. */
  readonly onFailure?: () => void;
}

/** Wires up one control host; the life cycle that is returned starts and stops it. */
export function createControlProcess(options: ControlProcessOptions): LifeCycle {
  const host = new ControlHost(options);
  const lifeCycle = new LifeCycle();
  host.addTo(lifeCycle);
  return lifeCycle;
}

/** A group of programs on this host, with what its leader does periodically. */
interface ProgramGroupParts extends ProgramGroupMember {
  readonly contents: ContentStore;
  readonly relay: OrderRelay;
}

/** The parts of one control host. */
class ControlHost {
  readonly #options: ControlProcessOptions;
  readonly #metrics = new Metrics(new LatencyHistograms());
  readonly #orders = new OfferedOrders();
  readonly #notifier: Notifier;
  readonly #client: ControlClient;
  readonly #registry: NodeRegistry;
  readonly #transport: ControlTransport;
  readonly #ticker: SharedTicker;
  readonly #groupParts: GroupParts;
  readonly #configuration: ConfigurationStateMachine;
  readonly #configurationLog: ReplicatedLog<AcceptOutcome>;
  readonly #groups: readonly ProgramGroupParts[];

  constructor(options: ControlProcessOptions) {
    this.#options = options;
    const { settings, clock, logger } = options;
    const { host, cluster, control } = settings;
    const credential = cluster['process-credential'];
    this.#notifier = new Notifier(clock);
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
    this.#groupParts = {
      ...options,
      transport: this.#transport,
      ticker: this.#ticker,
      onFailure: () => options.onFailure?.(),
    };
    this.#configuration = new ConfigurationStateMachine(() => {
      this.#notifier.notify(CHANGE_KEYS.configuration);
    });
    this.#configurationLog = this.#createConfigurationLog();
    this.#groups = programGroups(cluster)
      .filter((group) => group.hosts.includes(host.name))
      .map((group) => this.#createGroup(group.name, group.hosts));
  }

  /** Adds the parts in the order they start; logs stop first, while messages still flow. */
  addTo(lifeCycle: LifeCycle): void {
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
    this.#addHostList(lifeCycle);
    // Stops first, so that all groups are handed over at the same time.
    lifeCycle.add('hand-over', { stop: () => this.#handOver() });
    this.#registerGauges();
  }

  #addGroup(lifeCycle: LifeCycle, group: ProgramGroupParts): void {
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

  #addHostList(lifeCycle: LifeCycle): void {
    const { settings, clock, logger } = this.#options;
    if (settings.platform === undefined) return;
    const reader = new HostListReader({
      address: settings.platform['host-list'],
      milliseconds: settings.platform['host-list-milliseconds'],
      clock,
      logger,
      reads: () => this.#configurationLog.serves,
      onHosts: (leaving, live) => {
        const changed = this.#registry.hint(this.#targetsOn(leaving), this.#targetsOn(live));
        if (changed) this.#notifier.notify(CHANGE_KEYS.directory);
      },
    });
    lifeCycle.add('host-list', reader);
  }

  #targetsOn(hosts: readonly string[]): readonly string[] {
    const pools = this.#configuration.accepted?.configuration.pools ?? [];
    return pools
      .flatMap((pool) => pool.targets)
      .filter((target) => hosts.includes(target.host ?? target.name))
      .map((target) => target.name);
  }

  #createConfigurationLog(): ReplicatedLog<AcceptOutcome> {
    const { settings, clock } = this.#options;
    let leading = false;
    return createGroupLog(this.#groupParts, {
      name: CONFIGURATION_GROUP,
      hosts: settings.cluster.control.map((member) => member.name),
      machine: this.#configuration,
      onChange: ({ role }) => {
        if (role === 'leader' && !leading) {
          this.#registry.reset(clock.monotonic());
          this.#orders.reset();
        }
        leading = role === 'leader';
        this.#notifier.notifyAll();
      },
    });
  }

  #createGroup(name: string, hosts: readonly string[]): ProgramGroupParts {
    const { settings, clock, logger } = this.#options;
    const contents = createContents(this.#groupParts, name);
    const machine = new ProgramStateMachine(contents, (command) => {
      announce(this.#notifier, command, () => void relay.offer());
    });
    const log = createGroupLog(this.#groupParts, {
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
      repeatMilliseconds: settings.control['sweep-milliseconds'],
    });
    return { name, log, machine, contents, relay };
  }

  #createListener(address: ControlSettings['host']['address']): HttpListener {
    const source = { notReady: () => this.#notReady, metrics: this.#metrics };
    return new HttpListener({
      address,
      handle: (request, response) => {
        if (answerHealth(source, request, response)) return;
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
      milliseconds: settings.control['sweep-milliseconds'],
      clock,
      log: this.#configurationLog,
      machine: this.#configuration,
      registry: this.#registry,
      notifier: this.#notifier,
    });
  }

  async #handOver(): Promise<void> {
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
    const known = logs.every((log) => log.leader !== undefined);
    return known ? undefined : 'a group has no known leader';
  }

  #registerGauges(): void {
    const sum = (value: (group: ProgramGroupParts) => number) => () =>
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
