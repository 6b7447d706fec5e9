import type { Clock, RandomSource } from '../core';
import type { EngineLoad, PlacementCandidate, Placer } from '../decisions';
import type { TargetDirectory } from './directory';
import { PartHolders } from './part-holders';
import type { TargetState } from './state';
import type { PromptPart } from './target';

/** What is to be placed. */
export interface PlacementRequest {
  readonly parts: readonly PromptPart[];
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
  /** Engine that holds the cache of what is continued. */
  readonly lastTarget: string | undefined;
  /** Tokens of the prompt that the last target holds. */
  readonly heldTokens: number;
}

/** A chosen target with what decided it, for the log. */
export interface Placement {
  readonly state: TargetState;
  /** Milliseconds for an engine, a share of its slots for a plain service. */
  readonly cost: number;
  /** Targets that were weighed. */
  readonly candidates: number;
  /** Ages of what the choice rested on; milliseconds, infinite where nothing was heard. */
  readonly ages: { readonly list: number; readonly loads: number };
}

export interface ChoiceRequest {
  readonly service: string;
  readonly placer: Placer;
  readonly placement: PlacementRequest;
  /** Ids of targets that were tried already. */
  readonly tried: ReadonlySet<string>;
  /** Connections that a target accepts from all gateways together. */
  readonly connectionLimit: number;
}

export interface TargetChooserOptions {
  readonly targets: TargetDirectory;
  readonly availabilityZone: string;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Gathers what is known of a service's targets and has one of them chosen. */
export class TargetChooser {
  readonly #options: TargetChooserOptions;
  readonly #holders = new PartHolders();

  constructor(options: TargetChooserOptions) {
    this.#options = options;
  }

  /** Nothing if no target is left. */
  choose(request: ChoiceRequest): Placement | undefined {
    const { availabilityZone, clock, random, targets } = this.#options;
    const { parts, promptTokens, lastTarget, heldTokens } = request.placement;
    const now = clock.monotonic();
    const candidates: PlacementCandidate[] = [];
    for (const state of this.#select(request)) candidates.push(state.candidateAt(now, parts));
    const decision = request.placer.place(
      {
        availabilityZone,
        promptTokens,
        lastTarget,
        lastHeldTokens: heldTokens,
        candidates,
      },
      random,
    );
    const state = decision === undefined ? undefined : targets.get(decision.candidate.id);
    if (decision === undefined || state === undefined) return undefined;
    const { cost, weighed } = decision;
    return { state, cost, candidates: weighed, ages: targets.agesAt(now) };
  }

  /** What the services' targets that can be reached have under way; of a large one, a sample. */
  loadOf(services: readonly string[]): EngineLoad {
    const { targets, availabilityZone, random } = this.#options;
    const states = services
      .flatMap((service) => targets.ofService(service).select([], availabilityZone, random))
      .filter(({ isPaused }) => !isPaused);
    return {
      load: states.reduce((sum, state) => sum + state.load, 0),
      slots: states.reduce((sum, { target }) => sum + target.slots, 0),
    };
  }

  /** Notes what an engine has read, and generated behind it. */
  noteParts(
    state: TargetState,
    parts: readonly PromptPart[],
    generatedTokens: number,
    memoryTokens: number,
  ): void {
    state.noteParts(parts, generatedTokens, memoryTokens);
    const [first] = parts;
    if (first !== undefined) this.#holders.note(first.id, state.target.id);
  }

  /** The targets to weigh; all of the service where none of a sample is left. */
  #select({ service, placement, tried, connectionLimit }: ChoiceRequest): readonly TargetState[] {
    const { targets, availabilityZone, random } = this.#options;
    const ofService = targets.ofService(service);
    const isLeft = ({ target, load }: TargetState) =>
      load < connectionLimit && !tried.has(target.id);
    const selected = ofService.select(this.#known(service, placement), availabilityZone, random);
    const left = selected.filter(isLeft);
    return left.length > 0 || selected === ofService.all ? left : ofService.all.filter(isLeft);
  }

  /** Targets of the service that are known to hold the prompt's beginning, or all but its end. */
  #known(service: string, { parts, lastTarget }: PlacementRequest): readonly TargetState[] {
    const [first] = parts;
    const ids = first === undefined ? [] : this.#holders.of(first.id);
    return [...ids, ...(lastTarget === undefined ? [] : [lastTarget])].flatMap((id) => {
      const state = this.#options.targets.get(id);
      const isKnown = state?.target.service === service && !state.target.draining;
      return isKnown ? [state] : [];
    });
  }
}
