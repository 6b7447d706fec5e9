import { TRPCClientError, type TRPCClient, createTRPCClient } from '@trpc/client';
import {
  type Address,
  type CancelTimer,
  type Clock,
  type Component,
  MartenbayError,
  delay,
  formatAddress,
  messageOf,
  startTimeout,
} from '../core';
import { CONFIGURATION_GROUP } from '../state/groups';
import type { ControlRouter } from './router';
import type { NotLeader } from './schemas';
import { ControlSocket, socketLink } from './socket';

/** No control host, or no quorum of them, answered in time. */
export class ControlUnavailableError extends MartenbayError {
  /** Whether the credential was refused; a retry fails the same way. */
  readonly unauthorized: boolean;

  constructor(message: string, unauthorized: boolean, cause?: unknown) {
    super([{ code: 'control_unavailable', path: [], message }], { cause });
    this.unauthorized = unauthorized;
  }
}

export interface ControlMember {
  readonly name: string;
  readonly address: Address;
}

export interface ControlClientOptions {
  readonly members: readonly ControlMember[];
  readonly credential: string;
  readonly clock: Clock;
  /** Time limit for one member's answer, in milliseconds. */
  readonly attemptMilliseconds?: number;
}

export type ControlConnection = TRPCClient<ControlRouter>;

interface MemberConnection {
  readonly name: string;
  readonly socket: ControlSocket;
  readonly connection: ControlConnection;
}

export interface CallOptions {
  /** Group whose leader is called; by default that of the configuration. */
  readonly group?: string;
  /** Time limit for all attempts together. */
  readonly deadlineMilliseconds?: number;
  /** Time limit for one attempt at one member. */
  readonly attemptMilliseconds?: number;
}

const RETRY_DELAY_MILLISECONDS = 25;

/** Interval of the probes of a member while a call to it is in flight. */
const PROBE_INTERVAL_MILLISECONDS = 500;
const PROBE_TIMEOUT_MILLISECONDS = 1000;

/**
 * Calls the control host that leads a group. A call is retried at other members until one answers
 * or its deadline passes; every procedure must therefore be idempotent.
 */
export class ControlClient implements Component {
  readonly #clock: Clock;
  readonly #attemptMilliseconds: number;
  readonly #members: readonly MemberConnection[];
  /** Calls in flight, by abort controller, with the member that each was sent to. */
  readonly #attempts = new Map<AbortController, MemberConnection>();
  readonly #probesInFlight = new Set<MemberConnection>();
  /** Index of the member that is called first, by group. */
  readonly #preferredIndex = new Map<string, number>();
  #stopped = false;

  constructor(options: ControlClientOptions) {
    this.#clock = options.clock;
    this.#attemptMilliseconds = options.attemptMilliseconds ?? 2000;
    this.#members = options.members.map(({ name, address }) => {
      const socket = new ControlSocket(`ws://${formatAddress(address)}`, options.credential);
      const connection = createTRPCClient<ControlRouter>({ links: [socketLink(socket)] });
      return { name, socket, connection };
    });
  }

  /** Aborts the calls in flight and closes the connections. */
  stop(): void {
    this.#stopped = true;
    for (const attempt of this.#attempts.keys())
      attempt.abort(new Error('the control client is stopping'));
    for (const member of this.#members) member.socket.close();
  }

  /** Connection to one member, whether or not it is the leader. */
  member(name: string): ControlConnection | undefined {
    return this.#members.find((member) => member.name === name)?.connection;
  }

  /**
   * Calls every member; resolves with all answers, once every call has settled, if a quorum
   * answered.
   *
   * @throws {@link ControlUnavailableError} when no quorum answered in time
   */
  async queryQuorum<T>(
    operation: (connection: ControlConnection, signal: AbortSignal) => Promise<T>,
  ): Promise<readonly T[]> {
    const quorum = Math.floor(this.#members.length / 2) + 1;
    const limit = this.#attemptMilliseconds;
    const attempts = this.#members.map((member) => this.#attempt(member, operation, limit));
    const settled = await Promise.allSettled(attempts);
    const answers = settled.flatMap((call) => (call.status === 'fulfilled' ? [call.value] : []));
    if (answers.length >= quorum) return answers;
    const message = `${answers.length} of ${this.#members.length} control hosts answered`;
    throw new ControlUnavailableError(message, false);
  }

  /**
   * Runs an operation on the leader of a group.
   *
   * @throws {@link ControlUnavailableError} when no leader answered in time, or a member refused
   * the credential
   */
  async call<T extends { readonly outcome: string }>(
    operation: (connection: ControlConnection, signal: AbortSignal) => Promise<T | NotLeader>,
    options: CallOptions = {},
  ): Promise<Exclude<T, NotLeader>> {
    const { group = CONFIGURATION_GROUP, deadlineMilliseconds = 10_000 } = options;
    const { attemptMilliseconds = this.#attemptMilliseconds } = options;
    const deadline = this.#clock.monotonic() + deadlineMilliseconds;
    let failure: unknown = new Error('no control host is the leader');
    for (;;) {
      const remaining = deadline - this.#clock.monotonic();
      if (remaining <= 0 || this.#stopped) break;
      const member = this.#members[this.#preferredIndex.get(group) ?? 0];
      if (member === undefined) break;
      try {
        const limit = Math.min(remaining, attemptMilliseconds);
        const probe = group !== CONFIGURATION_GROUP;
        const answer = await this.#attempt(member, operation, limit, probe);
        if (answer.outcome !== 'not-leader') return answer as Exclude<T, NotLeader>;
        this.#followLeader(group, member, (answer as NotLeader).leader);
      } catch (error) {
        if (isUnauthorized(error)) {
          throw new ControlUnavailableError('the control host refused the credential', true, error);
        }
        failure = error;
        this.#tryNextMember(group, member);
      }
      await delay(this.#clock, RETRY_DELAY_MILLISECONDS);
    }
    const message = `no control host answered in time: ${messageOf(failure)}`;
    throw new ControlUnavailableError(message, false, failure);
  }

  async #attempt<T>(
    member: MemberConnection,
    operation: (connection: ControlConnection, signal: AbortSignal) => Promise<T>,
    milliseconds: number,
    probe = false,
  ): Promise<T> {
    const controller = new AbortController();
    this.#attempts.set(controller, member);
    const cancel = this.#clock.after(milliseconds, () => {
      this.#abortAttempts(member, new Error(`${member.name} did not answer in ${milliseconds} ms`));
    });
    const cancelProbe = probe ? this.#startProbing(member) : () => undefined;
    try {
      return await operation(member.connection, controller.signal);
    } finally {
      cancel();
      cancelProbe();
      this.#attempts.delete(controller);
    }
  }

  /**
   * Probes a member periodically while a call to it is in flight, to detect that it is suspended or
   * unreachable. The leader of the configuration is not probed: heartbeats to it detect the same.
   */
  #startProbing(member: MemberConnection): CancelTimer {
    let cancel: CancelTimer = () => undefined;
    const schedule = () => {
      cancel = this.#clock.after(PROBE_INTERVAL_MILLISECONDS, () => {
        void this.#probe(member);
        schedule();
      });
    };
    schedule();
    return () => {
      cancel();
    };
  }

  async #probe(member: MemberConnection): Promise<void> {
    if (this.#probesInFlight.has(member)) return;
    this.#probesInFlight.add(member);
    const { controller, cancel } = startTimeout(this.#clock, PROBE_TIMEOUT_MILLISECONDS);
    try {
      await member.connection.groups.knownTerm.query(undefined, { signal: controller.signal });
    } catch (error) {
      this.#abortAttempts(
        member,
        new Error(`${member.name} did not answer a probe: ${messageOf(error)}`),
      );
    } finally {
      cancel();
      this.#probesInFlight.delete(member);
    }
  }

  /**
   * Aborts every call in flight to a member, so that long calls are retried at another member
   * without waiting for their own timeout. One unanswered call or probe is enough.
   */
  #abortAttempts(member: MemberConnection, reason: Error): void {
    for (const [attempt, attemptMember] of this.#attempts) {
      if (attemptMember === member) attempt.abort(reason);
    }
  }

  /** Moves on to the next member, only once when several calls fail at the same one. */
  #tryNextMember(group: string, member: MemberConnection): void {
    const index = this.#members.indexOf(member);
    const current = this.#preferredIndex.get(group) ?? 0;
    if (current === index) this.#preferredIndex.set(group, (index + 1) % this.#members.length);
  }

  #followLeader(group: string, member: MemberConnection, leader: string | undefined): void {
    const index = this.#members.findIndex((candidate) => candidate.name === leader);
    if (index >= 0) this.#preferredIndex.set(group, index);
    else this.#tryNextMember(group, member);
  }
}

function isUnauthorized(error: unknown): boolean {
  if (!(error instanceof TRPCClientError)) return false;
  const data = error.data as { readonly code?: string } | undefined;
  return data?.code === 'UNAUTHORIZED';
}
