import { FIRST_EPOCH, type MemberEntry, type StoreView, type ViewMember } from '../cluster';
import { type Clock, type Logger, type RandomSource, delay, messageOf } from '../core';
import type { RpcClient } from '../rpc';
import type { PullAnswer, PullRequest, TurnContract, ViewMismatch } from './contract';
import type { TurnJournal } from './journal';
import { rankReplicas } from './replica-ranking';

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

type PullOutcome = 'pulled' | 'incomplete' | 'failed';

/**
 * Copies the rows that were acknowledged before this store joined. Pulls from a quorum of complete
 * members, at least one of which holds any given acknowledged row. In the place of a member that has
 * not been complete since it joined, as this store has not, the former member that it replaced is a
 * source as well: only complete members count for an acknowledgement.
 */
export class Backfill {
  readonly #options: BackfillOptions;
  #view: StoreView | undefined;
  #stopped = false;

  constructor(options: BackfillOptions) {
    this.#options = options;
  }

  /** Starts the backfill for a view, anew if it is under way, and abandons that of an earlier one. */
  start(offered: StoreView): void {
    // A copy has an identity of its own, by which the backfills of one view are told apart.
    const view = { ...offered };
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
    const sources = new Map<ViewMember, MemberEntry>();
    const others = otherMembersNearestFirst(view, self);
    while (self.joined !== FIRST_EPOCH && sources.size < view.quorum) {
      const incomplete: ViewMember[] = [];
      for (const member of others) {
        if (!this.#isCurrent(view)) return;
        if (sources.has(member) || sources.size >= view.quorum) continue;
        const outcome = await this.#pullFrom(view, member);
        if (outcome === 'pulled') sources.set(member, member);
        if (outcome === 'incomplete') incomplete.push(member);
      }
      for (const member of [...incomplete, self]) {
        if (!this.#isCurrent(view)) return;
        if (sources.has(member) || sources.size >= view.quorum) continue;
        const predecessor = await this.#pullFromPredecessors(view, member);
        if (predecessor !== undefined) sources.set(member, predecessor);
      }
      if (sources.size < view.quorum) await delay(clock, RETRY_DELAY_MILLISECONDS);
    }
    while (!(await this.#persistComplete(view, self))) await delay(clock, RETRY_DELAY_MILLISECONDS);
    if (journal.completeFor !== self.joined) return;
    logger.info({
      event: 'filled',
      epoch: view.epoch,
      joined: self.joined,
      from: [...sources.values()].map(({ name }) => name),
      turns: journal.table.turnCount,
      milliseconds: Math.round(clock.monotonic() - startedAt),
    });
  }

  /** Resolves with false while the disk refuses that, and with true also if the view is outdated. */
  async #persistComplete(view: StoreView, { joined }: ViewMember): Promise<boolean> {
    const { journal, logger } = this.#options;
    if (!this.#isCurrent(view)) return true;
    try {
      await journal.persistCompleteFor(joined);
      return true;
    } catch (error) {
      logger.info({ event: 'filling-put-off', error: messageOf(error) });
      return false;
    }
  }

  #isCurrent(view: StoreView): boolean {
    return !this.#stopped && this.#view === view;
  }

  /** Resolves with the latest predecessor that was complete, if the later ones never were. */
  async #pullFromPredecessors(
    view: StoreView,
    { predecessors = [] }: ViewMember,
  ): Promise<MemberEntry | undefined> {
    for (const predecessor of predecessors) {
      const outcome =
        predecessor.name === this.#options.self
          ? this.#outcomeOfOwnRows(predecessor)
          : await this.#pullFrom(view, predecessor);
      if (outcome === 'pulled') return predecessor;
      if (outcome === 'failed') return undefined;
    }
    return undefined;
  }

  #outcomeOfOwnRows({ dataLife, joined }: MemberEntry): PullOutcome {
    const { journal } = this.#options;
    if (dataLife !== journal.dataLife) return 'failed';
    return journal.completeFor >= joined ? 'pulled' : 'incomplete';
  }

  /**
   * Stores all rows of a member or former member, if it is complete. The next page is requested
   * before a page is stored, so that source, link and disk work at the same time.
   */
  async #pullFrom(view: StoreView, holder: MemberEntry): Promise<PullOutcome> {
    const { journal, random, logger } = this.#options;
    const sessionId = random.hex(PULL_SESSION_ID_BYTES);
    const requestPage = (offset: number, held: readonly string[]) => {
      const session = { filling: sessionId, offset, held };
      const page = this.#call(holder, { epoch: view.epoch, joined: holder.joined, ...session });
      // Handled when it is awaited, which is not before the page before it is stored.
      page.catch(() => undefined);
      return page;
    };
    try {
      let offset = 0;
      let page = requestPage(offset, storedTurnIds(journal));
      while (this.#isCurrent(view)) {
        const answer = await page;
        if (answer.kind !== 'rows' || !answer.complete) {
          logger.info({ event: 'filling-put-off', from: holder.name, answer: answer.kind });
          return answer.kind === 'rows' && answer.interrupted !== true ? 'incomplete' : 'failed';
        }
        offset += answer.rows.length;
        if (!answer.final) page = requestPage(offset, []);
        await journal.add(answer.rows);
        if (answer.final) return 'pulled';
      }
    } catch (error) {
      logger.info({ event: 'filling-put-off', from: holder.name, error: messageOf(error) });
    }
    return 'failed';
  }

  #call({ address }: MemberEntry, request: PullRequest): Promise<PullAnswer | ViewMismatch> {
    return this.#options.peers.call(address, 'turns.pull', request, PAGE_TIMEOUT_MILLISECONDS);
  }
}

function storedTurnIds(journal: TurnJournal): string[] {
  const ids: string[] = [];
  for (const row of journal.table.rows()) {
    if (row.kind === 'turn') ids.push(row.record.id);
  }
  return ids;
}

/** Of equally near members, stores that fill at the same time begin with different ones. */
function otherMembersNearestFirst(view: StoreView, self: ViewMember): readonly ViewMember[] {
  const isInSameZone = (member: ViewMember) =>
    Number(member.availabilityZone === self.availabilityZone);
  const order = rankReplicas(view, self.name).filter((member) => member.name !== self.name);
  return [...order].sort((left, right) => isInSameZone(right) - isInSameZone(left));
}
