import type { CancelTimer, Clock, Component } from '../core';
import type { TargetDirectory, TargetEnd, TargetState } from '../targets';
import type { ProbeResult, TargetProber } from './target-prober';

/** Time after a lost connection during which the target list can show that its target ended. */
const EVIDENCE_WINDOW_MILLISECONDS = 5000;

/** Lost connections that wait for evidence; beyond it, the oldest are dropped. */
const WAITING_LIMIT = 1024;

/** Maximum difference between the wall clocks of a server and a gateway. */
const CLOCK_SKEW_MILLISECONDS = 1000;

/** What shows that a target ended. */
export type CrashEvidence =
  /** Nothing listens at its address. */
  | 'connection-refused'
  /** Another server answers at its address. */
  | 'address-reused'
  | `list-${TargetEnd['kind']}`;

/** How a request lost its target. */
export type LossKind =
  /** The connection was closed or reset before the whole response. */
  | 'connection-lost'
  /** No response until the deadline, or until the caller left. */
  | 'no-response';

/** A request that lost its target. */
export interface Loss {
  readonly state: TargetState;
  readonly kind: LossKind;
  /** Called at most once, when it is found that the target ended. */
  readonly onCrash: (evidence: CrashEvidence, lostAt: number) => void;
}

interface WaitingLoss extends Loss {
  /** Monotonic milliseconds. */
  readonly lostAt: number;
  /** Result of the probe and the wall-clock time of it; undefined without one. */
  probe: { readonly result: ProbeResult; readonly at: number } | undefined;
}

export interface CrashDetectorOptions {
  readonly targets: Pick<TargetDirectory, 'onEnded'>;
  readonly prober: TargetProber;
  readonly clock: Clock;
}

/**
 * Finds out whether a target ended under a request, or only a connection was lost: a closed connection
 * alone may be a reset, a cut, a garbled response or the close of an idle connection. A target that
 * was draining has ended as planned.
 */
export class CrashDetector implements Component {
  readonly #options: CrashDetectorOptions;
  readonly #waiting = new Set<WaitingLoss>();
  /** Probes under way, so that requests that lost one target share one. */
  readonly #probes = new Map<TargetState, Promise<ProbeResult>>();
  #cancelExpiry: CancelTimer | undefined;

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
    options.targets.onEnded((state, end) => {
      this.#confirmByList(state, end);
    });
  }

  stop(): void {
    this.#cancelExpiry?.();
    this.#waiting.clear();
  }

  /** Resolves once it is known whether the target refuses connections. */
  async record(loss: Loss): Promise<void> {
    const { state, kind } = loss;
    const waiting = { ...loss, lostAt: this.#options.clock.monotonic(), probe: undefined };
    if (state.end !== undefined) loss.onCrash(`list-${state.end.kind}`, waiting.lostAt);
    if (state.target.draining || state.isRetired) return;
    this.#wait(waiting);
    if (kind === 'connection-lost') await this.#probe(waiting);
  }

  /** Records that another server answered at the target's address. */
  recordAddressReused(state: TargetState): void {
    for (const loss of this.#waitingAt(state)) this.#confirm(loss, 'address-reused');
  }

  async #probe(loss: WaitingLoss): Promise<void> {
    const { prober, clock } = this.#options;
    const { state } = loss;
    const running = this.#probes.get(state);
    const probe = running ?? prober.probe(state.target.address);
    this.#probes.set(state, probe);
    const result = await probe;
    this.#probes.delete(state);
    loss.probe = { result, at: clock.now() };
    if (result === 'refused') this.#confirm(loss, 'connection-refused');
  }

  /** A target that accepted a connection after the loss ended before only if a later run did so. */
  #confirmByList(state: TargetState, end: TargetEnd): void {
    for (const loss of this.#waitingAt(state)) {
      const { probe } = loss;
      const isServing = probe?.result === 'accepted' && !hadEndedBefore(end, probe.at);
      if (!isServing) this.#confirm(loss, `list-${end.kind}`);
    }
  }

  #confirm(loss: WaitingLoss, evidence: CrashEvidence): void {
    if (this.#waiting.delete(loss)) loss.onCrash(evidence, loss.lostAt);
  }

  #waitingAt(state: TargetState): readonly WaitingLoss[] {
    this.#expire();
    return [...this.#waiting].filter((loss) => loss.state === state);
  }

  #wait(loss: WaitingLoss): void {
    const [oldest] = this.#waiting;
    if (this.#waiting.size >= WAITING_LIMIT && oldest !== undefined) this.#waiting.delete(oldest);
    this.#waiting.add(loss);
    this.#scheduleExpiry();
  }

  #scheduleExpiry(): void {
    this.#cancelExpiry ??= this.#options.clock.after(EVIDENCE_WINDOW_MILLISECONDS, () => {
      this.#cancelExpiry = undefined;
      this.#expire();
      if (this.#waiting.size > 0) this.#scheduleExpiry();
    });
  }

  #expire(): void {
    const expiresBefore = this.#options.clock.monotonic() - EVIDENCE_WINDOW_MILLISECONDS;
    for (const loss of this.#waiting) {
      if (loss.lostAt > expiresBefore) return;
      this.#waiting.delete(loss);
    }
  }
}

/** Whether the list shows that the target had ended before a probe, at the time `probedAt`. */
function hadEndedBefore(end: TargetEnd, probedAt: number): boolean {
  if (end.kind === 'gone') return false;
  if (end.kind === 'replaced') return true;
  return end.bornAt !== undefined && end.bornAt <= probedAt + CLOCK_SKEW_MILLISECONDS;
}
