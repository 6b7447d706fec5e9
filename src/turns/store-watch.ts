import type { LatestValue, StoreView } from '../cluster';
import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import type { RpcClient } from '../rpc';
import type { TurnContract } from './contract';
import { askMembers } from './quorum';

/** Pause between looks; milliseconds. */
const LOOK_MILLISECONDS = 400;

/** Pause between looks while the stores are out of reach, as after a start; milliseconds. */
const SEEKING_MILLISECONDS = 100;

/** Longest wait for a store's answer to a look; milliseconds. */
const ANSWER_MILLISECONDS = 350;

/** Looks in a row that must fail before the stores count as out of reach. */
const FAILED_LOOKS = 2;

/** No program has this name, so a look finds nothing and changes nothing. */
const NO_PROGRAM = '';

export interface StoreWatchOptions {
  readonly view: LatestValue<StoreView>;
  readonly peers: RpcClient<TurnContract>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Knows whether a quorum of the stores can be reached, with or without turns under way. */
export class StoreWatch implements Component {
  readonly #options: StoreWatchOptions;
  readonly #task: PeriodicTask;
  #succeededAt = -Infinity;
  #lookedAt = -Infinity;
  #failures = FAILED_LOOKS;

  constructor(options: StoreWatchOptions) {
    this.#options = options;
    this.#task = new PeriodicTask(options.clock, SEEKING_MILLISECONDS, () => this.#look());
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  get reachesQuorum(): boolean {
    return this.#failures < FAILED_LOOKS;
  }

  /** Notes that a quorum has answered. */
  noteSuccess(): void {
    this.#succeededAt = this.#options.clock.monotonic();
    if (!this.reachesQuorum) this.#options.logger.info({ event: 'stores-reached' });
    this.#failures = 0;
  }

  /** Asks the stores unless a turn has shown just now that they answer. */
  async #look(): Promise<void> {
    const { view, clock } = this.#options;
    const now = clock.monotonic();
    const lastAt = Math.max(this.#succeededAt, this.#lookedAt);
    if (this.reachesQuorum && now - lastAt < LOOK_MILLISECONDS) return;
    this.#lookedAt = now;
    const present = view.value;
    const reached = present !== undefined && (await this.#reaches(present));
    if (reached) {
      this.noteSuccess();
      return;
    }
    this.#failures += 1;
    if (this.#failures !== FAILED_LOOKS) return;
    this.#options.logger.warn({ event: 'stores-out-of-reach', epoch: present?.epoch });
  }

  async #reaches(view: StoreView): Promise<boolean> {
    const { peers, clock } = this.#options;
    const round = await askMembers({
      view,
      clock,
      graceMilliseconds: 0,
      isEnough: (answers) => answers.length >= view.quorum,
      describeFailure: messageOf,
      ask: ({ address }) =>
        peers.call(
          address,
          'turns.reservations',
          { epoch: view.epoch, program: NO_PROGRAM },
          ANSWER_MILLISECONDS,
        ),
    });
    return round.answers.length >= view.quorum;
  }
}
