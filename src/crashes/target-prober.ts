import { connect } from 'node:net';
import { type Address, type Clock, delay, parseAddress } from '../core';
import type { ListedTarget } from '../targets';

/** What a target's address does with a new connection. */
export type ProbeResult =
  /** Something listens at the address, and nothing shows that it is another server. */
  | 'accepted'
  /** Another server, or a later run of the target, answers at the address. */
  | 'reused'
  /** Nothing listens at the address. */
  | 'refused'
  /** No answer in time: the host, or a link on the way to it, is down, or the target is stuck. */
  | 'silent';

export type ProbedTarget = Pick<ListedTarget, 'id' | 'service' | 'address'>;

/** Finds out whether a target still runs. */
export interface TargetProber {
  probe(target: ProbedTarget): Promise<ProbeResult>;
}

/**
 * Pauses before a target that was found running is probed again: one that is ending may lose its
 * connections before it stops listening.
 */
const REPEAT_DELAYS_MILLISECONDS = [75, 75] as const;

/** Probes a target several times before it counts as running. */
export class RepeatingTargetProber implements TargetProber {
  readonly #prober: TargetProber;
  readonly #clock: Clock;

  constructor(prober: TargetProber, clock: Clock) {
    this.#prober = prober;
    this.#clock = clock;
  }

  async probe(target: ProbedTarget): Promise<ProbeResult> {
    let result = await this.#prober.probe(target);
    for (const milliseconds of REPEAT_DELAYS_MILLISECONDS) {
      if (result !== 'accepted') return result;
      await delay(this.#clock, milliseconds);
      result = await this.#prober.probe(target);
    }
    return result;
  }
}

/** A target accepts a connection within about 1 ms. */
const CONNECT_TIMEOUT_MILLISECONDS = 250;

/** A process that is ending may still accept a connection, and then closes it. */
const CLOSE_WAIT_MILLISECONDS = 20;

/** Outcome of one connection; `closed`: it was established, and then closed by the other side. */
type ConnectionOutcome = ProbeResult | 'closed';

/** Opens a TCP connection and closes it again. */
export class TcpTargetProber implements TargetProber {
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** A target at its connection limit closes new connections each time, an ending one only once. */
  async probe({ address }: ProbedTarget): Promise<ProbeResult> {
    const parsed = parseAddress(address);
    const first = await this.#connect(parsed);
    const last = first === 'closed' ? await this.#connect(parsed) : first;
    return last === 'closed' ? 'accepted' : last;
  }

  #connect({ host, port }: Address): Promise<ConnectionOutcome> {
    return new Promise((resolve) => {
      const socket = connect({ host, port });
      const finish = (outcome: ConnectionOutcome) => {
        cancelTimer();
        socket.destroy();
        resolve(outcome);
      };
      let cancelTimer = this.#clock.after(CONNECT_TIMEOUT_MILLISECONDS, () => {
        finish('silent');
      });
      let isEstablished = false;
      socket.on('error', ({ code }: NodeJS.ErrnoException) => {
        if (isEstablished) finish('closed');
        else finish(code === 'ECONNREFUSED' ? 'refused' : 'silent');
      });
      socket.on('close', () => {
        finish('closed');
      });
      socket.on('connect', () => {
        isEstablished = true;
        cancelTimer();
        cancelTimer = this.#clock.after(CLOSE_WAIT_MILLISECONDS, () => {
          finish('accepted');
        });
      });
    });
  }
}
