import { join } from 'node:path';
import { type Clock, type Logger, type RandomSource, messageOf } from '../core';
import { ReplicatedLog, type ReplicatedLogOptions, type StateMachine } from '../replication';
import type { ControlSettings } from '../settings';
import type { CommandResult, ProgramStateMachine, SnapshotContentStore } from '../state';
import { ContentStore, QuarantiningStore, type RecordStore, markDamaged } from '../storage';
import type { SharedTicker } from './shared-ticker';
import type { ControlTransport } from './control-transport';

/** This host's replica of a program group. */
export interface ProgramGroupReplica {
  readonly name: string;
  readonly log: ReplicatedLog<CommandResult>;
  readonly machine: ProgramStateMachine;
  /** Message histories and answers of the group's programs. */
  readonly contents: SnapshotContentStore;
}

/** Dependencies shared by the logs of all groups of one host. */
export interface GroupContext {
  readonly settings: ControlSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly transport: ControlTransport;
  readonly ticker: SharedTicker;
  /** Called after a write that the disk has refused was logged. */
  readonly onRefusedWrite: () => void;
  /** Called after damage to the stored data has been logged. */
  readonly onDamage: () => void;
  /** Log store of a group; by default a file store in the data folder. */
  readonly storeFor?: ((group: string) => RecordStore) | undefined;
}

export interface GroupOptions<Result> {
  readonly name: string;
  readonly hosts: readonly string[];
  readonly machine: StateMachine<Result>;
  readonly onChange: (log: ReplicatedLog<Result>) => void;
}

export function createGroupLog<Result>(
  context: GroupContext,
  group: GroupOptions<Result>,
): ReplicatedLog<Result> {
  const { settings, clock, random, logger, transport, ticker, onRefusedWrite } = context;
  const { host, control } = settings;
  const options: ReplicatedLogOptions<Result> = {
    self: host.name,
    hosts: () => group.hosts,
    store: (context.storeFor ?? ((name) => openStore(context, name, group.hosts)))(group.name),
    transport: transport.forGroup(group.name),
    machine: group.machine,
    clock,
    random,
    everyTick: (action) => ticker.every(action),
    heartbeatMilliseconds: control['heartbeat-milliseconds'],
    electionMilliseconds: control['election-milliseconds'],
    snapshotEntries: control['snapshot-entries'],
    onChange: () => {
      const { role, term, leader, isVoter: votes } = log;
      logger.info({ event: 'replication', group: group.name, state: role, term, leader, votes });
      group.onChange(log);
    },
    onMembership: (membership, reason) => {
      logger.info({ event: 'membership', group: group.name, ...membership, reason });
    },
    onFailure: (error) => {
      logger.error({ event: 'storage-failed', group: group.name, error: messageOf(error) });
      onRefusedWrite();
    },
  };
  const log = new ReplicatedLog<Result>(options);
  return log;
}

/** Opens a file store; damaged files are quarantined only if the group has other members. */
function openStore(
  { settings, logger }: GroupContext,
  group: string,
  hosts: readonly string[],
): RecordStore {
  return new QuarantiningStore({
    folder: join(settings.control['data-folder'], group),
    mayQuarantine: hosts.length > 1,
    onQuarantine: (error, movedTo) => {
      logger.error({ event: 'storage-quarantined', group, error: error.message, movedTo });
    },
    onTornTail: (file, bytes) => {
      logger.warn({ event: 'torn-tail-cut', group, file, bytes });
    },
  });
}

/** Creates the store of the message histories and answers of one group. */
export function createContentStore(context: GroupContext, group: string): ContentStore {
  const { settings, logger, onRefusedWrite, onDamage } = context;
  return new ContentStore({
    folder: join(settings.control['data-folder'], 'contents', group),
    cacheCharacters: settings.control['history-cache-megabytes'] * CHARACTERS_PER_MEGABYTE,
    onFailure: (error) => {
      logger.error({ event: 'storage-failed', group, error: error.message });
      onRefusedWrite();
    },
    onDamage: (error) => {
      logger.fatal({ event: 'storage-damaged', group, error: error.message });
      void markDamaged(join(settings.control['data-folder'], group)).finally(onDamage);
    },
  });
}

/** Assumes one byte per character, as in mostly ASCII histories. */
const CHARACTERS_PER_MEGABYTE = 1_000_000;
