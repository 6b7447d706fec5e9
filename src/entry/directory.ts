import type { Configuration, Service, Target } from '../configuration';
import type { Clock } from '../core';
import type { DirectoryChanges, Load, TargetRecord } from '../protocol';
import type { Candidate } from '../routing';

/** A target as an entry sees it. */
export interface KnownTarget {
  readonly target: Target;
  readonly incarnation: string;
  readonly candidate: Candidate;
}

/**
 * The targets that an entry may send calls to: those of the configuration in force whose sidecar
 * is serving. A target of which the leader has no word yet counts as it did before.
 */
export class TargetDirectory {
  readonly #availabilityZone: string;
  readonly #records = new Map<string, TargetRecord>();
  readonly #ownCalls = new Map<string, number>();
  readonly #setAsideUntil = new Map<string, number>();
  readonly #clock: Clock;
  #epoch = 0;
  #version = 0;

  constructor(availabilityZone: string, clock: Clock) {
    this.#availabilityZone = availabilityZone;
    this.#clock = clock;
  }

  /** The newest changes seen, for the next watch. */
  get position(): { readonly epoch: number; readonly version: number } {
    return { epoch: this.#epoch, version: this.#version };
  }

  /** Targets that are known to serve. */
  get servingCount(): number {
    return [...this.#records.values()].filter((record) => record.state === 'serving').length;
  }

  /** Takes over what the leader told. */
  update(changes: DirectoryChanges): void {
    this.#epoch = changes.epoch;
    this.#version = changes.version;
    for (const record of changes.targets) this.#records.set(record.target, record);
  }

  /** Notes the load that came with an answer, which is newer than the leader's. */
  observeLoad(target: string, load: Load): void {
    const record = this.#records.get(target);
    if (record !== undefined) this.#records.set(target, { ...record, load });
  }

  callStarted(target: string): void {
    this.#ownCalls.set(target, (this.#ownCalls.get(target) ?? 0) + 1);
  }

  callEnded(target: string): void {
    this.#ownCalls.set(target, (this.#ownCalls.get(target) ?? 1) - 1);
  }

  /** Keeps calls from a target that just failed one, as long as others can take them. */
  setAside(target: string): void {
    this.#setAsideUntil.set(target, this.#clock.monotonic() + SET_ASIDE_MILLISECONDS);
  }

  /** Targets of a service that may get a call now, without the excluded ones. */
  available(
    configuration: Configuration,
    service: Service,
    excluded: ReadonlySet<string>,
  ): readonly KnownTarget[] {
    const pool = configuration.pools.find((entry) => entry.name === service.pool);
    const serving = (pool?.targets ?? []).flatMap((target): readonly KnownTarget[] => {
      const record = this.#records.get(target.name);
      if (record?.state !== 'serving' || excluded.has(target.name)) return [];
      return [this.#describe(configuration, target, record)];
    });
    const now = this.#clock.monotonic();
    const healthy = serving.filter(
      ({ target }) => (this.#setAsideUntil.get(target.name) ?? 0) <= now,
    );
    return healthy.length > 0 ? healthy : serving;
  }

  /** A target by name, whether it serves or not. */
  find(configuration: Configuration, name: string): Target | undefined {
    return configuration.pools
      .flatMap((pool) => pool.targets)
      .find((target) => target.name === name);
  }

  #describe(configuration: Configuration, target: Target, record: TargetRecord): KnownTarget {
    return {
      target,
      incarnation: record.incarnation,
      candidate: {
        target: target.name,
        load: record.load,
        ownCalls: this.#ownCalls.get(target.name) ?? 0,
        networkLatencyMilliseconds: this.#distance(configuration, target['availability-zone']),
      },
    };
  }

  #distance(configuration: Configuration, zone: string): number {
    if (zone === this.#availabilityZone) return 0;
    const distance = configuration.distances.find(
      ({ between }) => between.includes(zone) && between.includes(this.#availabilityZone),
    );
    return distance?.['one-way-milliseconds'] ?? UNKNOWN_DISTANCE_MILLISECONDS;
  }
}

/** How long a target that failed a call gets no further one. */
const SET_ASIDE_MILLISECONDS = 1000;

/** Assumed between availability zones whose distance no file gives. */
const UNKNOWN_DISTANCE_MILLISECONDS = 50;
