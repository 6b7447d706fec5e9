import { type Clock, type Logger, delay, messageOf } from '../core';
import { type CallName, type Caller, LinkError } from '../link';
import type { QuotaGrants, QuotaReport } from '../quotas';
import type {
  ClusterContract,
  LeaderAnswer,
  LeaderHint,
  RetirementOutcome,
  VersionedConfiguration,
} from './contract';
import type { NodeDirectory } from './directory';
import { ClusterUnavailable } from './errors';
import type { Greeter } from './greeter';
import type { ClusterCommand, CommandOutcome } from './machine';

/** Longest time spent on one order; an operator asks another process after a second. */
const ORDER_MILLISECONDS = 900;

/** Longest wait for one process; milliseconds. */
const ANSWER_MILLISECONDS = 500;

/** Pause before the leader is looked for again; milliseconds. */
const RETRY_MILLISECONDS = 60;

type LeaderCall =
  'cluster.propose' | 'cluster.read' | 'cluster.retire' | 'cluster.retirement' | 'cluster.quotas';

type Calls = ClusterContract['calls'];

/** The calls that only the leader answers, carried out at this process. */
export type LocalLeader = {
  readonly [Name in LeaderCall]: (
    request: Calls[Name]['request'],
  ) => Calls[Name]['answer'] | Promise<Calls[Name]['answer']>;
};

export interface ClusterClientOptions {
  readonly selfAddress: string;
  readonly directory: NodeDirectory;
  readonly greeter: Greeter;
  readonly peers: Caller<ClusterContract>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** This process's own copy of the state, where it keeps one. */
  readonly local: LocalLeader | undefined;
}

/** Changes and reads the cluster's state from any process, at whichever host leads it. */
export class ClusterClient {
  readonly #options: ClusterClientOptions;

  constructor(options: ClusterClientOptions) {
    this.#options = options;
  }

  /** Resolves once the command lasts; rejects with {@link ClusterUnavailable}. */
  propose(command: ClusterCommand): Promise<CommandOutcome> {
    return this.#ask('cluster.propose', command);
  }

  /** Reads the newest configuration; rejects with {@link ClusterUnavailable} if not certain. */
  readConfiguration(): Promise<VersionedConfiguration | undefined> {
    return this.#ask('cluster.read', null);
  }

  /** Orders a store to be emptied. */
  retire(store: string): Promise<RetirementOutcome> {
    return this.#ask('cluster.retire', store);
  }

  retirement(store: string): Promise<RetirementOutcome> {
    return this.#ask('cluster.retirement', store);
  }

  /** Asks for parts of teams' quotas; rejects with {@link ClusterUnavailable}. */
  takeQuotas(report: QuotaReport): Promise<QuotaGrants> {
    return this.#ask('cluster.quotas', report);
  }

  async #ask<Name extends LeaderCall, Value>(
    name: Name & CallName<ClusterContract>,
    request: Calls[Name]['request'],
  ): Promise<Value> {
    const { clock, greeter } = this.#options;
    const deadline = clock.monotonic() + ORDER_MILLISECONDS;
    let reason = 'no leader of the cluster state is known';
    let hint: LeaderHint | undefined;
    let tried = 0;
    while (clock.monotonic() < deadline) {
      const address = hint?.address ?? greeter.leader?.address ?? this.#anyKeeper(tried);
      tried += 1;
      const answer = await this.#askOne<Name, Value>(address, name, request);
      if (answer.kind === 'done') return answer.value;
      hint = undefined;
      if (answer.kind === 'not-now') {
        reason = answer.reason;
      } else if (answer.leader?.address !== address) {
        hint = answer.leader;
        greeter.hint(answer.leader);
        if (hint !== undefined) continue;
      }
      await delay(clock, RETRY_MILLISECONDS);
    }
    throw new ClusterUnavailable(reason);
  }

  async #askOne<Name extends LeaderCall, Value>(
    address: string | undefined,
    name: Name,
    request: Calls[Name]['request'],
  ): Promise<LeaderAnswer<Value>> {
    const { selfAddress, peers, local, logger } = this.#options;
    if (address === undefined) return { kind: 'not-leader', leader: undefined };
    try {
      const answer =
        address === selfAddress && local !== undefined
          ? await local[name](request)
          : await peers.call(address, name, request, ANSWER_MILLISECONDS);
      return answer as LeaderAnswer<Value>;
    } catch (error) {
      logger.info({
        event: 'leader-not-reached',
        call: name,
        leader: address,
        error: messageOf(error),
      });
      const failure = error instanceof LinkError ? error.failure : 'failed';
      return { kind: 'not-now', reason: `the leader did not answer: ${failure}` };
    }
  }

  #anyKeeper(tried: number): string | undefined {
    const { directory, local, selfAddress } = this.#options;
    const keepers = directory.all().filter(({ node }) => node.keepsClusterState);
    const addresses = keepers.map(({ node }) => node.address);
    if (local !== undefined) addresses.unshift(selfAddress);
    return addresses[tried % Math.max(1, addresses.length)];
  }
}
