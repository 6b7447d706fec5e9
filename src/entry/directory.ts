import type { Configuration, Service, Target } from '../configuration';
import type { Clock } from '../core';
import type { DirectoryChanges, Load, TargetRecord } from '../protocol';
import type { Candidate } from '../routing';
import { TargetCalls } from './target-calls';

/** What the directory needs to know of a call to list the targets for it. */
export interface TargetQuery {
  /** Targets at which the call failed. */
  readonly excluded: ReadonlySet<string>;
  /** Target of the program's last engine turn. */
  readonly lastTarget: string | undefined;
  /** When that turn ended: wall time in milliseconds, by the clock of a control host. */
  readonly lastTurnEndedAt: number | undefined;
}

export interface AvailableTarget {
  readonly target: Target;
  readonly incarnation: string;
  readonly candidate: Candidate;
}

/**
 * Targets that an entry may call: those in the active configuration whose sidecar is serving. A
 * target that a new leader has not reported yet keeps its last known record.
 */
export class TargetDirectory {
  readonly #availabilityZone: string;
  readonly #records = new Map<string, TargetRecord>();
  readonly #calls = new Map<string, TargetCalls>();
  readonly #cooldownUntil = new Map<string, number>();
  readonly #clock: Clock;
  #epoch = 0;
  #version = 0;

  constructor(availabilityZone: string, clock: Clock) {
    this.#availabilityZone = availabilityZone;
    this.#clock = clock;
  }

  /** Epoch and version of the latest changes applied; the next watch requests newer ones. */
  get position(): { readonly epoch: number; readonly version: number } {
    return { epoch: this.#epoch, version: this.#version };
  }

  get servingCount(): number {
    return [...this.#records.values()].filter((record) => record.state === 'serving').length;
  }

  update(changes: DirectoryChanges): void {
    this.#epoch = changes.epoch;
    this.#version = changes.version;
    for (const record of changes.targets) {
      this.#records.set(record.target, record);
      this.#callsOf(record.target).recordReport(record.load, record.loadReceivedAt);
    }
  }

  /** Records the load reported with a response, which is newer than the leader's. */
  observeLoad(target: string, load: Load): void {
    this.#callsOf(target).recordObservation(load);
  }

  recordCallStart(target: string): void {
    this.#callsOf(target).recordStart();
  }

  recordCallEnd(target: string): void {
    this.#callsOf(target).recordEnd();
  }

  /** Skips a target that failed a call for a short time, while other targets are available. */
  startCooldown(target: string): void {
    this.#cooldownUntil.set(target, this.#clock.monotonic() + FAILURE_COOLDOWN_MILLISECONDS);
  }

  /** Serving targets of a service that are not excluded; those in cooldown only if all are. */
  available(
    configuration: Configuration,
    service: Service,
    query: TargetQuery,
  ): readonly AvailableTarget[] {
    const pool = configuration.pools.find((entry) => entry.name === service.pool);
    const serving = (pool?.targets ?? []).flatMap((target): readonly AvailableTarget[] => {
      const record = this.#records.get(target.name);
      if (record?.state !== 'serving' || query.excluded.has(target.name)) return [];
      return [this.#toAvailableTarget(configuration, target, record, query)];
    });
    const now = this.#clock.monotonic();
    const notInCooldown = serving.filter(
      ({ target }) => (this.#cooldownUntil.get(target.name) ?? 0) <= now,
    );
    return notInCooldown.length > 0 ? notInCooldown : serving;
  }

  /** Finds a configured target by name, whether or not it is serving. */
  find(configuration: Configuration, name: string): Target | undefined {
    return configuration.pools
      .flatMap((pool) => pool.targets)
      .find((target) => target.name === name);
  }

  #toAvailableTarget(
    configuration: Configuration,
    target: Target,
    record: TargetRecord,
    { lastTarget, lastTurnEndedAt }: TargetQuery,
  ): AvailableTarget {
    const calls = this.#callsOf(target.name);
    return {
      target,
      incarnation: record.incarnation,
      candidate: {
        target: target.name,
        ownCalls: calls.own,
        otherCalls: calls.others(lastTarget === target.name ? lastTurnEndedAt : undefined),
        networkLatencyMilliseconds: this.#networkLatency(
          configuration,
          target['availability-zone'],
        ),
      },
    };
  }

  #callsOf(target: string): TargetCalls {
    const known = this.#calls.get(target);
    if (known !== undefined) return known;
    const calls = new TargetCalls(this.#clock);
    this.#calls.set(target, calls);
    return calls;
  }

  #networkLatency(configuration: Configuration, zone: string): number {
    if (zone === this.#availabilityZone) return 0;
    const distance = configuration.distances.find(
      ({ between }) => between.includes(zone) && between.includes(this.#availabilityZone),
    );
    return distance?.['one-way-milliseconds'] ?? DEFAULT_NETWORK_LATENCY_MILLISECONDS;
  }
}

const FAILURE_COOLDOWN_MILLISECONDS = 1000;

/** One-way latency assumed between availability zones without a configured distance. */
const DEFAULT_NETWORK_LATENCY_MILLISECONDS = 50;
