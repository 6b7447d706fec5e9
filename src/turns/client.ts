import type { StoreView, ViewMember } from '../cluster';
import { type Component, delay, messageOf } from '../core';
import type { ConfirmingRpcClient } from '../rpc';
import type { ChainCache } from './chain-cache';
import type { ChainAnswer, TurnContract } from './contract';
import { TurnsUnavailableError } from './errors';
import { queryInOrder } from './member-queries';
import type { ChainLookup, TurnRecord } from './records';
import type { ReserveOptions, ReserveOutcome } from './reservation-budget';
import { ReservationClient } from './reservation-client';
import { SettlementOutbox } from './settlement-outbox';
import {
  HEDGE_DELAY_MILLISECONDS,
  RETRY_DELAY_MILLISECONDS,
  type Reply,
  StoreQueries,
  type StoreQueriesOptions,
} from './store-queries';
import { TurnRecorder } from './turn-recorder';

export interface TurnClientOptions extends StoreQueriesOptions {
  readonly peers: ConfirmingRpcClient<TurnContract>;
  readonly availabilityZone: string;
  readonly cache: ChainCache;
}

/** Reads and writes turns and budgets at a quorum of the current view's stores. */
export class TurnClient implements Component {
  readonly #options: TurnClientOptions;
  readonly #stores: StoreQueries;
  readonly #reservations: ReservationClient;
  readonly #settlements: SettlementOutbox;
  readonly #recorder: TurnRecorder;

  constructor(options: TurnClientOptions) {
    this.#options = options;
    const { clock, logger, metrics } = options;
    this.#stores = new StoreQueries(options);
    this.#reservations = new ReservationClient({ stores: this.#stores, clock, logger, metrics });
    this.#settlements = new SettlementOutbox(options);
    this.#recorder = new TurnRecorder({
      stores: this.#stores,
      readChain: (turn, program, deadline) => this.chain(turn, program, deadline),
      clock,
      logger,
      metrics,
    });
  }

  stop(): void {
    this.#settlements.stop();
  }

  /** Reserves a turn's tokens; resolves with whether they fit in the budget. */
  reserve(options: ReserveOptions): Promise<ReserveOutcome> {
    return this.#reservations.reserve(options);
  }

  /**
   * Reduces the reservation of a turn that is not recorded to the tokens that it generated, 0 if it
   * did not run. A store that misses it keeps counting the reserved maximum until it is repeated.
   */
  settle(program: string, turn: string, tokens: number): void {
    this.#settlements.send({ program, turn, tokens });
  }

  /** Whether the stores have had memory for turns of this size lately. */
  hasRoomFor(bytes: number): boolean {
    return this.#recorder.hasRoomFor(bytes);
  }

  /**
   * Resolves once a completed turn and all turns that it continues are durable at each store of a
   * quorum. `ancestors` are the turns that it continues, oldest first; if not given, they are read
   * when a store lacks one of them.
   */
  async record(
    record: TurnRecord,
    deadline: number,
    ancestors?: readonly TurnRecord[],
  ): Promise<void> {
    await this.#recorder.record({ record, deadline, ancestors });
    this.#options.cache.add(record);
  }

  /** Finds a turn and its ancestors; rejects if no quorum can confirm their presence or absence. */
  async chain(turn: string, program: string, deadline: number): Promise<ChainLookup> {
    const records: TurnRecord[] = [];
    for (let id: string | undefined = turn; id !== undefined;) {
      const cached = this.#options.cache.get(id);
      const fetched: readonly TurnRecord[] =
        cached === undefined ? await this.#fetchChain(id, program, deadline) : [cached];
      if (fetched.length === 0) {
        if (id === turn) return { kind: 'absent' };
        throw new TurnsUnavailableError(`turn ${id}, which ${turn} continues, is not found`);
      }
      records.unshift(...fetched);
      id = records[0]?.previous;
    }
    return { kind: 'found', records };
  }

  /** Resolves with an empty list if a quorum confirms that the turn is absent. */
  async #fetchChain(id: string, program: string, deadline: number): Promise<readonly TurnRecord[]> {
    const { clock, metrics } = this.#options;
    metrics.count('chains_fetched_total');
    while (clock.monotonic() < deadline) {
      const { view } = this.#stores;
      const found =
        view === undefined ? undefined : await this.#fetchChainInView(view, id, program);
      if (found !== undefined) return found;
      await delay(clock, RETRY_DELAY_MILLISECONDS);
    }
    throw new TurnsUnavailableError(`too few stores answer for turn ${id}`);
  }

  /** Resolves with `undefined` if the view's stores are inconclusive. */
  #fetchChainInView(
    view: StoreView,
    id: string,
    program: string,
  ): Promise<readonly TurnRecord[] | undefined> {
    const { clock, cache, logger } = this.#options;
    const storesWithoutTurn = new Set<string>();
    return queryInOrder<Reply<ChainAnswer>, readonly TurnRecord[]>({
      members: this.#nearestReplicasFirst(view, program),
      clock,
      hedgeDelayMilliseconds: HEDGE_DELAY_MILLISECONDS,
      query: (member) => this.#stores.call(member, 'turns.chain', { epoch: view.epoch, turn: id }),
      decide: (answer, { name }) => {
        this.#stores.adoptNewerView(answer);
        if (answer.kind !== 'chain') return undefined;
        for (const record of answer.records) cache.add(record);
        if (answer.records.length > 0) return answer.records;
        if (answer.complete) storesWithoutTurn.add(name);
        return storesWithoutTurn.size >= view.quorum ? [] : undefined;
      },
      onFailure: (error, { name }) => {
        logger.info({ event: 'chain-not-read', turn: id, store: name, error: messageOf(error) });
      },
    });
  }

  /** The turn is assumed to belong to `program`, whose preferred replicas then hold it. */
  #nearestReplicasFirst(view: StoreView, program: string): readonly ViewMember[] {
    const members = this.#stores.rank(view, program);
    const replicas = members.slice(0, view.quorum);
    return [...this.#nearestFirst(replicas), ...this.#nearestFirst(members.slice(view.quorum))];
  }

  #nearestFirst(members: readonly ViewMember[]): readonly ViewMember[] {
    const { availabilityZone, peers } = this.#options;
    const rank = (member: ViewMember) =>
      (peers.isConnected(member.address) ? 0 : 2) +
      (member.availabilityZone === availabilityZone ? 0 : 1);
    return [...members].sort((left, right) => rank(left) - rank(right));
  }
}
