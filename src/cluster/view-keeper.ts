import { type Clock, type Component, type Logger, PeriodicTask } from '../core';
import type { LeaderAnswer, RetirementOutcome } from './contract';
import type { NodeDirectory } from './directory';
import type { ClusterMember } from './member';
import { viewSizeFor } from './view';
import { type ViewStep, planView } from './view-plan';

/** Pause between plans; milliseconds. */
const PLAN_MILLISECONDS = 150;

/** Silence of a store after which another one may take its place; milliseconds. */
const SILENCE_MILLISECONDS = 1500;

/** Time from a new leader's start before silence counts, so that all have greeted it. */
const SETTLING_MILLISECONDS = 2500;

export interface ViewKeeperOptions {
  readonly member: ClusterMember;
  readonly directory: NodeDirectory;
  readonly toleratedLosses: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** As the leader, keeps enough stores in use and empties those that are to leave. */
export class ViewKeeper implements Component {
  readonly #options: ViewKeeperOptions;
  readonly #task: PeriodicTask;
  #ledSince: number | undefined;

  constructor(options: ViewKeeperOptions) {
    this.#options = options;
    this.#task = new PeriodicTask(options.clock, PLAN_MILLISECONDS, () => this.#keep());
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  /** Takes an order to empty a store. */
  async retire(store: string): Promise<LeaderAnswer<RetirementOutcome>> {
    const { member, directory, toleratedLosses } = this.#options;
    const { machine } = member;
    const answer = member.read(() => machine.retirements.get(store));
    if (answer.kind !== 'done') return answer;
    if (answer.value !== undefined) return { kind: 'done', value: answer.value };
    if (!this.#knowsStore(store)) return { kind: 'done', value: 'unknown-store' };
    const remaining = directory
      .ofKind('store')
      .filter(({ node }) => node.name !== store && !machine.retirements.has(node.name));
    if (remaining.length < viewSizeFor(toleratedLosses)) {
      return { kind: 'done', value: 'too-few-stores' };
    }
    const outcome = await member.propose({ kind: 'retire', store, state: 'running' });
    return outcome.kind === 'done' ? { kind: 'done', value: 'running' } : outcome;
  }

  retirement(store: string): LeaderAnswer<RetirementOutcome> {
    const { member } = this.#options;
    return member.read(() => member.machine.retirements.get(store) ?? 'unknown-store');
  }

  #knowsStore(store: string): boolean {
    const { member, directory } = this.#options;
    const isMember = member.machine.view?.members.some(({ name }) => name === store) ?? false;
    return isMember || directory.get(store)?.node.kind === 'store';
  }

  async #keep(): Promise<void> {
    const { member, clock } = this.#options;
    if (!member.serves) {
      this.#ledSince = undefined;
      return;
    }
    this.#ledSince ??= clock.monotonic();
    const step = this.#plan(clock.monotonic() - this.#ledSince >= SETTLING_MILLISECONDS);
    if (step !== undefined) await this.#carryOut(step);
  }

  #plan(silenceCounts: boolean): ViewStep | undefined {
    const { member, directory, toleratedLosses } = this.#options;
    return planView({
      view: member.machine.view,
      toleratedLosses,
      stores: directory
        .heardWithin(SILENCE_MILLISECONDS)
        .filter(({ node }) => node.kind === 'store'),
      retirements: member.machine.retirements,
      silenceCounts,
    });
  }

  async #carryOut(step: ViewStep): Promise<void> {
    const { member, logger } = this.#options;
    const command =
      step.kind === 'view'
        ? ({ kind: 'view', view: step.view } as const)
        : ({ kind: 'retire', store: step.store, state: 'completed' } as const);
    const answer = await member.propose(command);
    const inputs = step.kind === 'view' ? { epoch: step.view.epoch, reason: step.reason } : step;
    logger.info({ event: 'stores-changed', ...inputs, outcome: answer.kind });
  }
}
