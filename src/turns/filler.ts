import { FIRST_EPOCH, type StoreView, type ViewMember } from '../cluster';
import { type Clock, type Logger, type RandomSource, delay, messageOf } from '../core';
import type { RpcClient } from '../rpc';
import type { PullAnswer, TurnContract } from './contract';
import type { TurnJournal } from './journal';

/** Longest wait for one page; milliseconds. */
const PAGE_MILLISECONDS = 1000;

/** Pause before members that did not answer are asked again; milliseconds. */
const RETRY_MILLISECONDS = 150;

/** Random bytes that name one filling. */
const FILLING_BYTES = 8;

export interface FillerOptions {
  readonly self: string;
  readonly journal: TurnJournal;
  readonly peers: RpcClient<TurnContract>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/**
 * Fills this store with what was acknowledged before it joined. It must hear out a quorum of
 * members that hold everything themselves: any record has a copy at one of them.
 */
export class Filler {
  readonly #options: FillerOptions;
  #view: StoreView | undefined;
  #stopped = false;

  constructor(options: FillerOptions) {
    this.#options = options;
  }

  /** Starts to fill the store for a view, in place of what was under way. */
  fill(view: StoreView): void {
    this.#view = view;
    const { self, journal, logger } = this.#options;
    const member = view.members.find(({ name }) => name === self);
    if (member?.dataLife !== journal.dataLife) return;
    if (member.joined === journal.completeFor) return;
    this.#fill(view, member).catch((error: unknown) => {
      logger.error({ event: 'filling-failed', epoch: view.epoch, error: messageOf(error) });
    });
  }

  stop(): void {
    this.#stopped = true;
  }

  async #fill(view: StoreView, self: ViewMember): Promise<void> {
    const { journal, clock, logger } = this.#options;
    const startedAt = clock.monotonic();
    const heard = new Set<string>();
    while (self.joined !== FIRST_EPOCH && heard.size < view.quorum) {
      for (const member of othersFirstOfZone(view, self)) {
        if (!this.#isCurrent(view)) return;
        if (heard.has(member.name) || heard.size >= view.quorum) continue;
        if (await this.#pullAll(view, member)) heard.add(member.name);
      }
      if (heard.size < view.quorum) await delay(clock, RETRY_MILLISECONDS);
    }
    if (!this.#isCurrent(view)) return;
    await journal.keepComplete(self.joined);
    logger.info({
      event: 'filled',
      epoch: view.epoch,
      joined: self.joined,
      from: [...heard],
      turns: journal.table.turnCount,
      milliseconds: Math.round(clock.monotonic() - startedAt),
    });
  }

  #isCurrent(view: StoreView): boolean {
    return !this.#stopped && this.#view === view;
  }

  /** Takes all rows of one member; returns whether that member holds everything. */
  async #pullAll(view: StoreView, member: ViewMember): Promise<boolean> {
    const { peers, journal, random, logger } = this.#options;
    const filling = random.hex(FILLING_BYTES);
    let offset = 0;
    let held = heldTurns(journal);
    try {
      while (this.#isCurrent(view)) {
        const request = { epoch: view.epoch, filling, offset, held };
        const answer = await peers.call(member.address, 'turns.pull', request, PAGE_MILLISECONDS);
        if (answer.kind !== 'rows' || !answer.complete) {
          logger.info({ event: 'filling-put-off', from: member.name, answer: answer.kind });
          return false;
        }
        await this.#keep(answer);
        if (answer.final) return true;
        offset += answer.rows.length;
        held = [];
      }
    } catch (error) {
      logger.info({ event: 'filling-put-off', from: member.name, error: messageOf(error) });
    }
    return false;
  }

  #keep(answer: PullAnswer): Promise<void> {
    return this.#options.journal.add(answer.rows);
  }
}

function heldTurns(journal: TurnJournal): string[] {
  const held: string[] = [];
  for (const row of journal.table.rows()) {
    if (row.kind === 'turn') held.push(row.record.id);
  }
  return held;
}

function othersFirstOfZone(view: StoreView, self: ViewMember): readonly ViewMember[] {
  const near = (member: ViewMember) => Number(member.availabilityZone === self.availabilityZone);
  return view.members
    .filter((member) => member.name !== self.name)
    .sort((left, right) => near(right) - near(left));
}
