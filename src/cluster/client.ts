import { type Clock, type Logger, delay, messageOf } from '../core';
import { type CallName, type RpcClient, RpcError } from '../rpc';
import type { QuotaGrants, QuotaReport } from '../quotas';
import type {
  ClusterContract,
  LeaderAnswer,
  LeaderHint,
  RetirementOutcome,
  RolloutRequest,
  VersionedConfiguration,
} from './contract';
import type { NodeDirectory } from './directory';
import { ClusterUnavailableError } from './errors';
import type { HeartbeatSender } from './heartbeat-sender';
import { packText, unpackText } from './packed-text';
import type { ClusterCommand, CommandOutcome } from './state-machine';

/** A configuration as its operator sent it. */
export interface ConfigurationText {
  readonly version: number;
  readonly text: string;
}

/**
 * Total time for one call; below the 1 s after which an operator's client calls another process.
 */
const CALL_TIMEOUT_MILLISECONDS = 900;

const ATTEMPT_TIMEOUT_MILLISECONDS = 500;

const RETRY_DELAY_MILLISECONDS = 60;

/** Time for which the leader waits, in one call, until a configuration is in force. */
const ROLLOUT_WAIT_MILLISECONDS = 300;

type LeaderCallName =
  | 'cluster.propose'
  | 'cluster.inForce'
  | 'cluster.read'
  | 'cluster.retire'
  | 'cluster.retirement'
  | 'cluster.quotas';

type Calls = ClusterContract['calls'];

interface LeaderCallAttempt<Name extends LeaderCallName> {
  /** Undefined if no process is known that may lead. */
  readonly address: string | undefined;
  readonly name: Name;
  readonly request: Calls[Name]['request'];
  readonly timeoutMilliseconds: number;
}

/** The leader calls, served by this process's own replica. */
export type LocalLeaderCalls = {
  readonly [Name in LeaderCallName]: (
    request: Calls[Name]['request'],
  ) => Calls[Name]['answer'] | Promise<Calls[Name]['answer']>;
};

export interface ClusterClientOptions {
  readonly selfAddress: string;
  readonly directory: NodeDirectory;
  readonly heartbeatSender: HeartbeatSender;
  readonly peers: RpcClient<ClusterContract>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Calls on this process's own replica; undefined without one. */
  readonly localLeaderCalls: LocalLeaderCalls | undefined;
}

/** Reads and changes the cluster state from any process by calling the current leader. */
export class ClusterClient {
  readonly #options: ClusterClientOptions;

  constructor(options: ClusterClientOptions) {
    this.#options = options;
  }

  /** Resolves once the command is committed; rejects with {@link ClusterUnavailableError}. */
  propose(command: ClusterCommand): Promise<CommandOutcome> {
    return this.#call('cluster.propose', () => command);
  }

  /**
   * Replaces the configuration. Resolves once it is committed and in force at every gateway that the
   * leader hears from; rejects with {@link ClusterUnavailableError}, after which it may be in force.
   */
  async configure(version: number, text: string): Promise<CommandOutcome> {
    const deadline = this.#options.clock.monotonic() + CALL_TIMEOUT_MILLISECONDS;
    const command = { kind: 'configure', version, text: packText(text) } as const;
    const outcome: CommandOutcome = await this.#call('cluster.propose', () => command, deadline);
    await this.#waitUntilInForce(version, deadline);
    return outcome;
  }

  async #waitUntilInForce(version: number, deadline: number): Promise<void> {
    const createRequest = (): RolloutRequest => {
      const remaining = Math.max(0, deadline - this.#options.clock.monotonic());
      return { version, milliseconds: Math.min(ROLLOUT_WAIT_MILLISECONDS, remaining) };
    };
    await this.#call<'cluster.inForce', true>('cluster.inForce', createRequest, deadline);
  }

  /** Linearizable read of the configuration; rejects with {@link ClusterUnavailableError}. */
  async readConfiguration(): Promise<ConfigurationText | undefined> {
    const read: VersionedConfiguration | undefined = await this.#call('cluster.read', () => null);
    return read === undefined ? undefined : { ...read, text: unpackText(read.text) };
  }

  /** Starts retiring a store, whose turns are then copied to other stores. */
  retire(store: string): Promise<RetirementOutcome> {
    return this.#call('cluster.retire', () => store);
  }

  retirement(store: string): Promise<RetirementOutcome> {
    return this.#call('cluster.retirement', () => store);
  }

  /** Requests shares of team quotas; rejects with {@link ClusterUnavailableError}. */
  requestQuotas(report: QuotaReport): Promise<QuotaGrants> {
    return this.#call('cluster.quotas', () => report);
  }

  /** Repeats the call until the deadline; each attempt has a request of its own. */
  async #call<Name extends LeaderCallName, Value>(
    name: Name & CallName<ClusterContract>,
    createRequest: () => Calls[Name]['request'],
    deadline = this.#options.clock.monotonic() + CALL_TIMEOUT_MILLISECONDS,
  ): Promise<Value> {
    const { clock, heartbeatSender } = this.#options;
    let reason = 'no leader of the cluster state is known';
    let hint: LeaderHint | undefined;
    let attempt = 0;
    do {
      const address =
        hint?.address ?? heartbeatSender.leader?.address ?? this.#nextReplica(attempt);
      attempt += 1;
      const remaining = Math.max(0, deadline - clock.monotonic());
      const answer = await this.#callOnce<Name, Value>({
        ...{ address, name, request: createRequest() },
        timeoutMilliseconds: Math.min(ATTEMPT_TIMEOUT_MILLISECONDS, remaining),
      });
      if (answer.kind === 'done') return answer.value;
      hint = undefined;
      if (answer.kind === 'not-now') {
        reason = answer.reason;
      } else if (answer.leader?.address !== address) {
        hint = answer.leader;
        heartbeatSender.recordLeaderHint(answer.leader);
        if (hint !== undefined) continue;
      }
      await delay(clock, RETRY_DELAY_MILLISECONDS);
    } while (clock.monotonic() < deadline);
    throw new ClusterUnavailableError(reason);
  }

  async #callOnce<Name extends LeaderCallName, Value>(
    attempt: LeaderCallAttempt<Name>,
  ): Promise<LeaderAnswer<Value>> {
    const { address, name, request, timeoutMilliseconds } = attempt;
    const { selfAddress, peers, localLeaderCalls, logger } = this.#options;
    if (address === undefined) return { kind: 'not-leader', leader: undefined };
    try {
      const answer =
        address === selfAddress && localLeaderCalls !== undefined
          ? await localLeaderCalls[name](request)
          : await peers.call(address, name, request, timeoutMilliseconds);
      return answer as LeaderAnswer<Value>;
    } catch (error) {
      logger.info({
        event: 'leader-not-reached',
        call: name,
        leader: address,
        error: messageOf(error),
      });
      const failure = error instanceof RpcError ? error.failure : 'failed';
      return { kind: 'not-now', reason: `the leader did not answer: ${failure}` };
    }
  }

  #nextReplica(attempt: number): string | undefined {
    const { directory, localLeaderCalls, selfAddress } = this.#options;
    const replicas = directory.all().filter(({ node }) => node.keepsClusterState);
    const addresses = replicas.map(({ node }) => node.address);
    if (localLeaderCalls !== undefined) addresses.unshift(selfAddress);
    return addresses[attempt % Math.max(1, addresses.length)];
  }
}
