import { FIRST_EPOCH, type StoreView, type ViewMember } from '../cluster';
import { type Clock, type Logger, type RandomSource, delay, messageOf } from '../core';
import type { RpcClient } from '../rpc';
import type { PullAnswer, TurnContract } from './contract';
import type { TurnJournal } from './journal';

const PAGE_TIMEOUT_MILLISECONDS = 1000;

/** Delay before members that did not serve a complete pull are queried again. */
const RETRY_DELAY_MILLISECONDS = 150;

const PULL_SESSION_ID_BYTES = 8;

export interface BackfillOptions {
  readonly self: string;
  readonly journal: TurnJournal;
  readonly peers: RpcClient<TurnContract>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/**
 * Copies the rows that were acknowledged before this store joined. Pulls from a quorum of complete
 * members, at least one of which holds any given acknowledged row.
 */
export class Backfill {
  readonly #options: BackfillOptions;
  #view: StoreView | undefined;
  #stopped = false;

  constructor(options: BackfillOptions) {
    this.#options = options;
  }

  /** Starts the backfill for a view and abandons that of an earlier one. */
  start(view: StoreView): void {
    this.#view = view;
    const { self, journal, logger } = this.#options;
    const member = view.members.find(({ name }) => name === self);
    if (member?.dataLife !== journal.dataLife) return;
    if (member.joined === journal.completeFor) return;
    this.#run(view, member).catch((error: unknown) => {
      logger.error({ event: 'filling-failed', epoch: view.epoch, error: messageOf(error) });
    });
  }

  stop(): void {
    this.#stopped = true;
  }

  async #run(view: StoreView, self: ViewMember): Promise<void> {
    const { journal, clock, logger } = this.#options;
    const startedAt = clock.monotonic();
    const sources = new Set<string>();
    while (self.joined !== FIRST_EPOCH && sources.size < view.quorum) {
      for (const member of otherMembersNearestFirst(view, self)) {
        if (!this.#isCurrent(view)) return;
        if (sources.has(member.name) || sources.size >= view.quorum) continue;
        if (await this.#pullFrom(view, member)) sources.add(member.name);
      }
      if (sources.size < view.quorum) await delay(clock, RETRY_DELAY_MILLISECONDS);
    }
    if (!this.#isCurrent(view)) return;
    await journal.persistCompleteFor(self.joined);
    logger.info({
      event: 'filled',
      epoch: view.epoch,
      joined: self.joined,
      from: [...sources],
      turns: journal.table.turnCount,
      milliseconds: Math.round(clock.monotonic() - startedAt),
    });
  }

  #isCurrent(view: StoreView): boolean {
    return !this.#stopped && this.#view === view;
  }

  /** Resolves with whether the member was complete and all its rows were stored. */
  async #pullFrom(view: StoreView, member: ViewMember): Promise<boolean> {
    const { peers, journal, random, logger } = this.#options;
    const sessionId = random.hex(PULL_SESSION_ID_BYTES);
    let offset = 0;
    let heldTurnIds = storedTurnIds(journal);
    try {
      while (this.#isCurrent(view)) {
        const request = { epoch: view.epoch, filling: sessionId, offset, held: heldTurnIds };
        const answer = await peers.call(
          member.address,
          'turns.pull',
          request,
          PAGE_TIMEOUT_MILLISECONDS,
        );
        if (answer.kind !== 'rows' || !answer.complete) {
          logger.info({ event: 'filling-put-off', from: member.name, answer: answer.kind });
          return false;
        }
        await this.#append(answer);
        if (answer.final) return true;
        offset += answer.rows.length;
        heldTurnIds = [];
      }
    } catch (error) {
      logger.info({ event: 'filling-put-off', from: member.name, error: messageOf(error) });
    }
    return false;
  }

  #append(answer: PullAnswer): Promise<void> {
    return this.#options.journal.add(answer.rows);
  }
}

function storedTurnIds(journal: TurnJournal): string[] {
  const ids: string[] = [];
  for (const row of journal.table.rows()) {
    if (row.kind === 'turn') ids.push(row.record.id);
  }
  return ids;
}

function otherMembersNearestFirst(view: StoreView, self: ViewMember): readonly ViewMember[] {
  const isInSameZone = (member: ViewMember) =>
    Number(member.availabilityZone === self.availabilityZone);
  return view.members
    .filter((member) => member.name !== self.name)
    .sort((left, right) => isInSameZone(right) - isInSameZone(left));
}
