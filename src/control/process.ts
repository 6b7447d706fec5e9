import { join } from 'node:path';
import { type Clock, LifeCycle, type Logger, Metrics, type RandomSource, messageOf } from '../core';
import { LatencyHistograms } from '../core/latency';
import { ControlClient, HttpListener, answerHealth } from '../protocol';
import { ControlListener } from '../protocol/control-listener';
import { ReplicatedLog } from '../replication';
import type { ControlSettings } from '../settings';
import { type CommandResult, ProgramStateMachine } from '../state';
import { QuarantiningStore, type RecordStore } from '../storage';
import { announce } from './announce';
import { Notifier } from './notifier';
import { NodeRegistry } from './registry';
import { ControlService } from './service';
import { createSweep } from './sweeper';
import { ControlTransport } from './transport';

export interface ControlProcessOptions {
  readonly settings: ControlSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** The file store under the data folder unless given. */
  readonly store?: RecordStore;
  /** Called when the process can't go on, after the reason was logged. */
  readonly onFailure?: () => void;
}

/** Wires up one control host; the life cycle that is returned starts and stops it. */
export function createControlProcess(options: ControlProcessOptions): LifeCycle {
  const { settings, clock, random, logger } = options;
  const { host, cluster, control } = settings;
  const metrics = new Metrics(new LatencyHistograms());
  const notifier = new Notifier(clock);
  const registry = new NodeRegistry(control['session-milliseconds']);
  const machine = new ProgramStateMachine((command) => {
    announce(notifier, machine, command);
  });
  const credential = cluster['process-credential'];
  const client = new ControlClient({ members: cluster.control, credential, clock });
  const transport: ControlTransport = new ControlTransport({
    client,
    clock,
    logger,
    receive: (envelopes) => {
      log.receive(envelopes);
    },
  });
  let leading = false;
  const log = new ReplicatedLog<CommandResult>({
    self: host.name,
    hosts: () => cluster.control.map((member) => member.name),
    store: options.store ?? openStore(options),
    transport,
    machine,
    clock,
    random,
    heartbeatMilliseconds: control['heartbeat-milliseconds'],
    electionMilliseconds: control['election-milliseconds'],
    onChange: () => {
      const { role, term, leader, votes } = log;
      logger.info({ event: 'replication', state: role, term, leader, votes });
      if (role === 'leader' && !leading) registry.reset(clock.monotonic());
      leading = role === 'leader';
      notifier.notifyAll();
    },
    onMembership: (membership, reason) => {
      logger.info({ event: 'membership', ...membership, reason });
    },
    onFailure: (error) => {
      logger.fatal({ event: 'storage-failed', error: messageOf(error) });
      options.onFailure?.();
    },
  });
  const service = new ControlService({
    self: host.name,
    log,
    machine,
    registry,
    notifier,
    clock,
    logger,
    metrics,
  });
  const notReady = () => (log.leader === undefined ? 'no leader is known' : undefined);
  const listener = new HttpListener({
    address: host.address,
    handle: (request, response) => {
      if (answerHealth({ notReady, metrics }, request, response)) return;
      response.writeHead(404).end();
    },
  });
  registerGauges(metrics, log, machine);

  const lifeCycle = new LifeCycle();
  lifeCycle.add('client', client);
  lifeCycle.add('listener', listener);
  lifeCycle.add(
    'control-listener',
    new ControlListener({
      listener,
      api: service,
      processCredential: credential,
      operatorCredential: control['operator-credential'],
    }),
  );
  lifeCycle.add('transport', transport);
  lifeCycle.add('notifier', notifier);
  lifeCycle.add('log', log);
  lifeCycle.add(
    'sweep',
    createSweep({ settings: control, clock, logger, log, machine, registry, notifier }),
  );
  return lifeCycle;
}

/** The store of this host's own log; only a member that has peers may lose what is damaged. */
function openStore({ settings, logger }: ControlProcessOptions): RecordStore {
  const { control, cluster } = settings;
  return new QuarantiningStore({
    folder: join(control['data-folder'], 'log'),
    mayQuarantine: cluster.control.length > 1,
    onQuarantine: (error, movedTo) => {
      logger.error({ event: 'storage-quarantined', error: error.message, movedTo });
    },
    onTornTail: (file, bytes) => {
      logger.warn({ event: 'torn-tail-cut', file, bytes });
    },
  });
}

function registerGauges(
  metrics: Metrics,
  log: ReplicatedLog<CommandResult>,
  machine: ProgramStateMachine,
): void {
  metrics.gauge('replication_term', () => log.term);
  metrics.gauge('replication_applied_index', () => log.appliedIndex);
  metrics.gauge('programs', () => machine.tables.programs.size);
  metrics.gauge('pending_orders', () => machine.tables.orders.size);
}
