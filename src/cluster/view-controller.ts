import { type Clock, type Component, type Logger, PeriodicTask } from '../core';
import type { LeaderAnswer, RetirementOutcome } from './contract';
import type { NodeDirectory } from './directory';
import type { ClusterReplica } from './replica';
import { viewSizeFor } from './view';
import { type ViewStep, planView } from './view-plan';

const RECONCILE_INTERVAL_MILLISECONDS = 150;

/** Time without a heartbeat after which another store may replace a store. */
const FAILURE_TIMEOUT_MILLISECONDS = 1500;

/** Time after becoming leader before missing heartbeats count, so that all stores can send one. */
const LEADER_GRACE_MILLISECONDS = 2500;

export interface ViewControllerOptions {
  readonly replica: ClusterReplica;
  readonly directory: NodeDirectory;
  readonly toleratedLosses: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** As the leader, reconciles the view with the responsive stores and the requested retirements. */
export class ViewController implements Component {
  readonly #options: ViewControllerOptions;
  readonly #task: PeriodicTask;
  #leaderSince: number | undefined;

  constructor(options: ViewControllerOptions) {
    this.#options = options;
    this.#task = new PeriodicTask(options.clock, RECONCILE_INTERVAL_MILLISECONDS, () =>
      this.#reconcile(),
    );
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  /** Starts retiring a store if enough other stores remain. */
  async retire(store: string): Promise<LeaderAnswer<RetirementOutcome>> {
    const { replica, directory, toleratedLosses } = this.#options;
    const { stateMachine } = replica;
    const answer = replica.read(() => stateMachine.retirements.get(store));
    if (answer.kind !== 'done') return answer;
    if (answer.value !== undefined) return { kind: 'done', value: answer.value };
    if (!this.#knowsStore(store)) return { kind: 'done', value: 'unknown-store' };
    const remaining = directory
      .ofKind('store')
      .filter(({ node }) => node.name !== store && !stateMachine.retirements.has(node.name));
    if (remaining.length < viewSizeFor(toleratedLosses)) {
      return { kind: 'done', value: 'too-few-stores' };
    }
    const outcome = await replica.propose({ kind: 'retire', store, state: 'running' });
    return outcome.kind === 'done' ? { kind: 'done', value: 'running' } : outcome;
  }

  retirement(store: string): LeaderAnswer<RetirementOutcome> {
    const { replica } = this.#options;
    return replica.read(() => replica.stateMachine.retirements.get(store) ?? 'unknown-store');
  }

  #knowsStore(store: string): boolean {
    const { replica, directory } = this.#options;
    const isMember = replica.stateMachine.view?.members.some(({ name }) => name === store) ?? false;
    return isMember || directory.get(store)?.node.kind === 'store';
  }

  async #reconcile(): Promise<void> {
    const { replica, clock } = this.#options;
    if (!replica.serves) {
      this.#leaderSince = undefined;
      return;
    }
    this.#leaderSince ??= clock.monotonic();
    const step = this.#plan(clock.monotonic() - this.#leaderSince >= LEADER_GRACE_MILLISECONDS);
    if (step !== undefined) await this.#execute(step);
  }

  #plan(failureDetectionActive: boolean): ViewStep | undefined {
    const { replica, directory, toleratedLosses } = this.#options;
    return planView({
      view: replica.stateMachine.view,
      toleratedLosses,
      stores: directory
        .withHeartbeatWithin(FAILURE_TIMEOUT_MILLISECONDS)
        .filter(({ node }) => node.kind === 'store'),
      retirements: replica.stateMachine.retirements,
      failureDetectionActive,
    });
  }

  async #execute(step: ViewStep): Promise<void> {
    const { replica, logger } = this.#options;
    const command =
      step.kind === 'view'
        ? ({ kind: 'view', view: step.view } as const)
        : ({ kind: 'retire', store: step.store, state: 'completed' } as const);
    const answer = await replica.propose(command);
    const inputs = step.kind === 'view' ? { epoch: step.view.epoch, reason: step.reason } : step;
    logger.info({ event: 'stores-changed', ...inputs, outcome: answer.kind });
  }
}
