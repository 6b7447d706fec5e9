import { join } from 'node:path';
import { type Clock, type Logger, type RandomSource, messageOf } from '../core';
import { ReplicatedLog, type ReplicatedLogOptions, type StateMachine } from '../replication';
import type { ControlSettings } from '../settings';
import type { CommandResult, ProgramStateMachine, SnapshotContents } from '../state';
import { ContentStore, QuarantiningStore, type RecordStore, markDamaged } from '../storage';
import type { SharedTicker } from './ticker';
import type { ControlTransport } from './transport';

/** This host's part in a group of programs. */
export interface ProgramGroupMember {
  readonly name: string;
  readonly log: ReplicatedLog<CommandResult>;
  readonly machine: ProgramStateMachine;
  /** Histories and answers. */
  readonly contents: SnapshotContents;
}

/** What the logs of all groups of one host share. */
export interface GroupParts {
  readonly settings: ControlSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly transport: ControlTransport;
  readonly ticker: SharedTicker;
  /** Called when the process can't go on, after the reason was logged. */
  readonly onFailure: () => void;
  /** The store of a group; a file store under the data folder unless given. */
  readonly storeFor?: ((group: string) => RecordStore) | undefined;
}

/** One group of this host. */
export interface GroupOptions<Result> {
  readonly name: string;
  readonly hosts: readonly string[];
  readonly machine: StateMachine<Result>;
  readonly onChange: (log: ReplicatedLog<Result>) => void;
}

/** Builds this host's log of one group. */
export function createGroupLog<Result>(
  parts: GroupParts,
  group: GroupOptions<Result>,
): ReplicatedLog<Result> {
  const { settings, clock, random, logger, transport, ticker, onFailure } = parts;
  const { host, control } = settings;
  const options: ReplicatedLogOptions<Result> = {
    self: host.name,
    hosts: () => group.hosts,
    store: (parts.storeFor ?? ((name) => openStore(parts, name, group.hosts)))(group.name),
    transport: transport.forGroup(group.name),
    machine: group.machine,
    clock,
    random,
    everyTick: (action) => ticker.every(action),
    heartbeatMilliseconds: control['heartbeat-milliseconds'],
    electionMilliseconds: control['election-milliseconds'],
    snapshotEntries: control['snapshot-entries'],
    onChange: () => {
      const { role, term, leader, votes } = log;
      logger.info({ event: 'replication', group: group.name, state: role, term, leader, votes });
      group.onChange(log);
    },
    onMembership: (membership, reason) => {
      logger.info({ event: 'membership', group: group.name, ...membership, reason });
    },
    onFailure: (error) => {
      logger.fatal({ event: 'storage-failed', group: group.name, error: messageOf(error) });
      onFailure();
    },
  };
  const log = new ReplicatedLog<Result>(options);
  return log;
}

/** The store of this host's own log; only a member that has peers may lose what is damaged. */
function openStore(
  { settings, logger }: GroupParts,
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

/** The store of the histories and answers of one group. */
export function createContents(parts: GroupParts, group: string): ContentStore {
  const { settings, logger, onFailure } = parts;
  return new ContentStore({
    folder: join(settings.control['data-folder'], 'contents', group),
    cacheCharacters: settings.control['history-cache-megabytes'] * CHARACTERS_PER_MEGABYTE,
    onFailure: (error) => {
      logger.fatal({ event: 'storage-failed', group, error: error.message });
      onFailure();
    },
    onDamage: (error) => {
      logger.fatal({ event: 'storage-damaged', group, error: error.message });
      void markDamaged(join(settings.control['data-folder'], group)).finally(onFailure);
    },
  });
}

/** Histories are mostly of one byte a character. */
const CHARACTERS_PER_MEGABYTE = 1_000_000;
