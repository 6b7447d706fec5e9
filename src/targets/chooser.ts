import type { Clock, RandomSource } from '../core';
import type { EngineLoad, PlacementCandidate, PlacementPolicy } from '../decisions';
import type { TargetConnectionPool } from './connection-pool';
import type { TargetDirectory } from './directory';
import { totalLoadOf } from './engine-load';
import { holdsTurn } from './incarnation';
import { PrefixCacheIndex } from './prefix-cache-index';
import type { TargetState } from './state';
import type { PromptPart } from './target';

export interface PlacementRequest {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Engine of the previous turn of the conversation. */
  readonly lastTarget: string | undefined;
  /** Prompt tokens in the cache of `lastTarget`. */
  readonly cachedTokens: number;
  /** Wall-clock time; a restart of `lastTarget` after it has cleared its cache. */
  readonly lastTurnEndedAt?: number | undefined;
}

/** A selected target, with the inputs of the decision for the log. */
export interface Placement {
  readonly state: TargetState;
  /** Milliseconds for an engine, a share of the slots for other targets. */
  readonly cost: number;
  /** Number of targets that were compared. */
  readonly candidates: number;
  /**
   * Ages of the target list and of other gateways' loads; milliseconds, infinite if never received.
   */
  readonly ages: { readonly list: number; readonly loads: number };
}

export interface ChoiceRequest {
  readonly service: string;
  readonly policy: PlacementPolicy;
  readonly placement: PlacementRequest;
  /** Ids of the targets of earlier attempts, which are not selected again. */
  readonly tried: ReadonlySet<string>;
  /** Maximum number of connections to a target from all gateways together. */
  readonly connectionLimit: number;
}

export interface TargetChooserOptions {
  readonly targets: TargetDirectory;
  readonly availabilityZone: string;
  /** Without it, no target is preferred for its idle connections. */
  readonly connectionCost?: ConnectionCost | undefined;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** What opening a connection costs this gateway. */
export interface ConnectionCost {
  readonly connections: Pick<TargetConnectionPool, 'hasIdle'>;
  readonly newConnectionMilliseconds: number;
}

/** Collects the candidates of a service and lets a placement policy select one of them. */
export class TargetChooser {
  readonly #options: TargetChooserOptions;
  readonly #prefixCaches = new PrefixCacheIndex();

  constructor(options: TargetChooserOptions) {
    this.#options = options;
  }

  /** Returns undefined if no target is available. */
  choose(request: ChoiceRequest): Placement | undefined {
    const { availabilityZone, connectionCost, clock, random, targets } = this.#options;
    const { parts, promptTokens, lastTarget } = request.placement;
    const now = clock.monotonic();
    const candidates: PlacementCandidate[] = [];
    for (const state of this.#candidates(request)) {
      const hasIdleConnection = connectionCost?.connections.hasIdle(state) ?? true;
      candidates.push(state.candidateAt(now, parts, hasIdleConnection));
    }
    const decision = request.policy.place(
      {
        availabilityZone,
        promptTokens,
        lastTarget,
        lastTargetCachedTokens: this.#lastTargetCachedTokens(request.placement),
        newConnectionMilliseconds: connectionCost?.newConnectionMilliseconds ?? 0,
        candidates,
      },
      random,
    );
    const state = decision === undefined ? undefined : targets.get(decision.candidate.id);
    if (decision === undefined || state === undefined) return undefined;
    const { cost, consideredCount } = decision;
    return { state, cost, candidates: consideredCount, ages: targets.agesAt(now) };
  }

  /** Total load of the targets that are not paused; of a large service, only of a sample. */
  loadOf(services: readonly string[]): EngineLoad {
    const { targets, availabilityZone, random } = this.#options;
    return totalLoadOf(
      services.flatMap((service) =>
        targets.ofService(service).select([], availabilityZone, random),
      ),
    );
  }

  /** Records the prompt parts and generated tokens that an engine has added to its cache. */
  recordParts(
    state: TargetState,
    parts: readonly PromptPart[],
    generatedTokens: number,
    cacheCapacityTokens: number,
  ): void {
    state.recordParts(parts, generatedTokens, cacheCapacityTokens);
    if (state.isRetired) return;
    const [first] = parts;
    if (first !== undefined) this.#prefixCaches.record(first.id, state.target.id);
  }

  #lastTargetCachedTokens({ lastTarget, lastTurnEndedAt, cachedTokens }: PlacementRequest): number {
    const last = lastTarget === undefined ? undefined : this.#options.targets.get(lastTarget);
    if (last === undefined || lastTurnEndedAt === undefined) return cachedTokens;
    return holdsTurn(last.target, lastTurnEndedAt) ? cachedTokens : 0;
  }

  /** Targets to compare: the selected ones, or all of the service if none of these is available. */
  #candidates({
    service,
    placement,
    tried,
    connectionLimit,
  }: ChoiceRequest): readonly TargetState[] {
    const { targets, availabilityZone, random } = this.#options;
    const serviceTargets = targets.ofService(service);
    const isAvailable = ({ target, load }: TargetState) =>
      load < connectionLimit && !tried.has(target.id);
    const selected = serviceTargets.select(
      this.#cachingTargets(service, placement),
      availabilityZone,
      random,
    );
    const available = selected.filter(isAvailable);
    return available.length > 0 || selected === serviceTargets.all
      ? available
      : serviceTargets.all.filter(isAvailable);
  }

  /** Targets of the service that are known to cache the first prompt part or the conversation. */
  #cachingTargets(
    service: string,
    { parts, lastTarget }: PlacementRequest,
  ): readonly TargetState[] {
    const [first] = parts;
    const ids = first === undefined ? [] : this.#prefixCaches.targetsFor(first.id);
    return [...ids, ...(lastTarget === undefined ? [] : [lastTarget])].flatMap((id) => {
      const state = this.#options.targets.get(id);
      const isEligible = state?.target.service === service && !state.target.draining;
      return isEligible ? [state] : [];
    });
  }
}
