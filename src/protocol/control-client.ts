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

/** The control hosts gave no answer. */
export class ControlUnavailableError extends MartenbayError {
  /** Whether the reason is a refused credential, which no retry mends. */
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
  /** Longest wait for one member's answer, in milliseconds. */
  readonly attemptMilliseconds?: number;
}

export type ControlConnection = TRPCClient<ControlRouter>;

interface MemberConnection {
  readonly name: string;
  readonly socket: ControlSocket;
  readonly connection: ControlConnection;
}

/** Which leader is asked, and how long for: in all, and at one member; milliseconds. */
export interface CallOptions {
  /** The configuration's unless given. */
  readonly group?: string;
  readonly deadlineMilliseconds?: number;
  readonly attemptMilliseconds?: number;
}

const RETRY_MILLISECONDS = 25;

/** Wait for an answer after which a member is probed, and the longest wait for that; milliseconds. */
const PROBE_AFTER_MILLISECONDS = 500;
const PROBE_ANSWER_MILLISECONDS = 1000;

/**
 * Calls whichever control host leads a group. A call is repeated at other members until one answers or
 * its deadline passes; every procedure gives a repeated call the same answer.
 */
export class ControlClient implements Component {
  readonly #clock: Clock;
  readonly #attemptMilliseconds: number;
  readonly #members: readonly MemberConnection[];
  /** Calls under way, each with the member that it waits for. */
  readonly #attempts = new Map<AbortController, MemberConnection>();
  /** Members that are being probed. */
  readonly #probed = new Set<MemberConnection>();
  /** Place in the list of members of the one that is asked first, by group. */
  readonly #current = new Map<string, number>();
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

  /** Gives up the calls under way and closes the connections. */
  stop(): void {
    this.#stopped = true;
    for (const attempt of this.#attempts.keys()) attempt.abort(new Error('the client is stopping'));
    for (const member of this.#members) member.socket.close();
  }

  /** Connection to one member, whether it leads or not. */
  member(name: string): ControlConnection | undefined {
    return this.#members.find((member) => member.name === name)?.connection;
  }

  /**
   * Asks every member, and resolves with the answers of a majority.
   *
   * @throws {@link ControlUnavailableError} when a majority did not answer in time
   */
  async askMajority<T>(
    operate: (connection: ControlConnection, signal: AbortSignal) => Promise<T>,
  ): Promise<readonly T[]> {
    const needed = Math.floor(this.#members.length / 2) + 1;
    const limit = this.#attemptMilliseconds;
    const asked = this.#members.map((member) => this.#attempt(member, operate, limit));
    const settled = await Promise.allSettled(asked);
    const answers = settled.flatMap((one) => (one.status === 'fulfilled' ? [one.value] : []));
    if (answers.length >= needed) return answers;
    const message = `${answers.length} of ${this.#members.length} control hosts answered`;
    throw new ControlUnavailableError(message, false);
  }

  /**
   * Runs an operation at the leader of a group.
   *
   * @throws {@link ControlUnavailableError} when no member answered in time
   */
  async call<T extends { readonly outcome: string }>(
    operate: (connection: ControlConnection, signal: AbortSignal) => Promise<T | NotLeader>,
    options: CallOptions = {},
  ): Promise<Exclude<T, NotLeader>> {
    const { group = CONFIGURATION_GROUP, deadlineMilliseconds = 10_000 } = options;
    const { attemptMilliseconds = this.#attemptMilliseconds } = options;
    const deadline = this.#clock.monotonic() + deadlineMilliseconds;
    let failure: unknown = new Error('no control host leads');
    for (;;) {
      const remaining = deadline - this.#clock.monotonic();
      if (remaining <= 0 || this.#stopped) break;
      const member = this.#members[this.#current.get(group) ?? 0];
      if (member === undefined) break;
      try {
        const limit = Math.min(remaining, attemptMilliseconds);
        const probes = group !== CONFIGURATION_GROUP;
        const answer = await this.#attempt(member, operate, limit, probes);
        if (answer.outcome !== 'not-leader') return answer as Exclude<T, NotLeader>;
        this.#follow(group, member, (answer as NotLeader).leader);
      } catch (error) {
        if (isUnauthorized(error)) {
          throw new ControlUnavailableError('the control host refused the credential', true, error);
        }
        failure = error;
        this.#leave(group, member);
      }
      await delay(this.#clock, RETRY_MILLISECONDS);
    }
    const message = `no control host answered in time: ${messageOf(failure)}`;
    throw new ControlUnavailableError(message, false, failure);
  }

  async #attempt<T>(
    member: MemberConnection,
    operate: (connection: ControlConnection, signal: AbortSignal) => Promise<T>,
    milliseconds: number,
    probes = false,
  ): Promise<T> {
    const controller = new AbortController();
    this.#attempts.set(controller, member);
    const cancel = this.#clock.after(milliseconds, () => {
      this.#giveUp(member, new Error(`${member.name} did not answer in ${milliseconds} ms`));
    });
    const cancelProbe = probes ? this.#probeLater(member) : () => undefined;
    try {
      return await operate(member.connection, controller.signal);
    } finally {
      cancel();
      cancelProbe();
      this.#attempts.delete(controller);
    }
  }

  /**
   * A leader may hold a call for long. So that one that is frozen or cut off is noticed meanwhile,
   * it is asked again and again for something that it answers at once. The leader of the
   * configuration is not: the heartbeats that it gets tell as much.
   */
  #probeLater(member: MemberConnection): CancelTimer {
    let cancel: CancelTimer = () => undefined;
    const schedule = () => {
      cancel = this.#clock.after(PROBE_AFTER_MILLISECONDS, () => {
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
    if (this.#probed.has(member)) return;
    this.#probed.add(member);
    const { controller, cancel } = startTimeout(this.#clock, PROBE_ANSWER_MILLISECONDS);
    try {
      await member.connection.groups.knownTerm.query(undefined, { signal: controller.signal });
    } catch (error) {
      this.#giveUp(member, new Error(`${member.name} answers no probe: ${messageOf(error)}`));
    } finally {
      cancel();
      this.#probed.delete(member);
    }
  }

  /**
   * A member that leaves one call unanswered is taken for frozen or cut off: every call that waits
   * for it is made elsewhere, so that a long one does not wait out its own time.
   */
  #giveUp(member: MemberConnection, reason: Error): void {
    for (const [attempt, waitsFor] of this.#attempts) {
      if (waitsFor === member) attempt.abort(reason);
    }
  }

  /** Turns to the next member, once for all the calls that fail at this one. */
  #leave(group: string, member: MemberConnection): void {
    const index = this.#members.indexOf(member);
    const current = this.#current.get(group) ?? 0;
    if (current === index) this.#current.set(group, (index + 1) % this.#members.length);
  }

  #follow(group: string, member: MemberConnection, leader: string | undefined): void {
    const index = this.#members.findIndex((other) => other.name === leader);
    if (index >= 0) this.#current.set(group, index);
    else this.#leave(group, member);
  }
}

function isUnauthorized(error: unknown): boolean {
  if (!(error instanceof TRPCClientError)) return false;
  const data = error.data as { readonly code?: string } | undefined;
  return data?.code === 'UNAUTHORIZED';
}
