import { type Logger, messageOf } from '../core';
import type { Target } from '../configuration';
import type { ReplicatedLog } from '../replication';
import {
  type ConfigurationResult,
  type ConfigurationStateMachine,
  encodeLeavingHosts,
} from '../state';
import { CHANGE_KEYS, type ChangeNotifier } from './change-notifier';
import type { NodeRegistry } from './node-registry';

export interface LeavingHostsOptions {
  /** Log of the configuration group. */
  readonly log: Pick<ReplicatedLog<ConfigurationResult>, 'propose'>;
  readonly machine: ConfigurationStateMachine;
  readonly registry: NodeRegistry;
  readonly notifier: ChangeNotifier;
  readonly logger: Logger;
}

/**
 * Hosts that the platform lists as leaving. Their names are replicated, because a new leader may be
 * unable to read the list, and a host that has left is no longer on it, while the sidecar there
 * still reports `serving`.
 */
export class LeavingHosts {
  readonly #options: LeavingHostsOptions;

  constructor(options: LeavingHostsOptions) {
    this.#options = options;
  }

  /** Records what the list shows, on the leader. A failed write is retried at the next read. */
  async update(leaving: readonly string[], live: readonly string[]): Promise<void> {
    const { log, machine, logger } = this.#options;
    const previous = machine.leavingHosts;
    const known = new Set([...previous, ...leaving].filter((host) => !live.includes(host)));
    const hosts = [...new Set(this.#targets.map(hostOf))].filter((host) => known.has(host)).sort();
    if (hosts.join() === previous.join()) return;
    logger.info({ event: 'leaving-hosts', hosts, previous });
    try {
      await log.propose(encodeLeavingHosts(hosts));
    } catch (error) {
      logger.warn({ event: 'leaving-hosts-not-recorded', hosts, error: messageOf(error) });
    }
  }

  /** Applies the recorded hosts to the targets in the registry. */
  publish(): void {
    const { machine, registry, notifier } = this.#options;
    const isLeaving = (target: Target) => machine.leavingHosts.includes(hostOf(target));
    const leaving = this.#targets.filter(isLeaving);
    const others = this.#targets.filter((target) => !isLeaving(target));
    if (registry.applyHostList(leaving.map(nameOf), others.map(nameOf)))
      notifier.notify(CHANGE_KEYS.directory);
  }

  get #targets(): readonly Target[] {
    const pools = this.#options.machine.accepted?.configuration.pools ?? [];
    return pools.flatMap((pool) => pool.targets);
  }
}

function hostOf(target: Target): string {
  return target.host ?? target.name;
}

function nameOf(target: Target): string {
  return target.name;
}
