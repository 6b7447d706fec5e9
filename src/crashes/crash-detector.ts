import type { CancelTimer, Clock, Component } from '../core';
import type { TargetDirectory, TargetEnd, TargetState } from '../targets';
import type { ProbeResult, ProbedTarget, TargetProber } from './target-prober';

/**
 * Time after the loss of a target that does not answer a new connection either, during which the
 * target list can show that it ended.
 */
const EVIDENCE_WINDOW_MILLISECONDS = 5000;

/** Minimum time between probes of targets that most likely live on. */
const OPTIONAL_PROBE_INTERVAL_MILLISECONDS = 100;

/**
 * Time after the loss of a target in which it may still answer others: a process that is ending
 * closes its connections one after the other.
 */
export const ENDING_MILLISECONDS = 150;

/** Lost connections that wait for evidence; beyond it, the oldest are dropped. */
const WAITING_LIMIT = 1024;

/** What shows that a target ended. */
export type CrashEvidence =
  /** Nothing listens at its address. */
  | 'connection-refused'
  /** Another server answers at its address. */
  | 'address-reused'
  | `list-${TargetEnd['kind']}`;

/** An attempt after which nothing shows that its target lives on. */
export interface Loss {
  readonly state: TargetState;
  /** Called at most once, when it is found that the target ended. */
  readonly onCrash: (evidence: CrashEvidence, lostAt: number) => void;
  /** Called at most once, when it is found that the target lives on. */
  readonly onAlive?: (() => void) | undefined;
}

interface WaitingLoss extends Loss {
  /** Monotonic milliseconds. */
  readonly lostAt: number;
  /** Unix milliseconds. */
  readonly lostOn: number;
}

/** A probe under way, which all requests that lost its target share. */
interface RunningProbe {
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  readonly result: Promise<ProbeResult>;
}

export interface CrashDetectorOptions {
  readonly targets: Pick<TargetDirectory, 'onEnded'>;
  readonly prober: TargetProber;
  readonly clock: Clock;
}

/**
 * Finds out whether a target ended under a request, or only a connection was lost: a closed connection
 * alone may be a reset, a cut, a garbled response or the close of an idle connection. That a target
 * was draining tells nothing of the request that it ran.
 */
export class CrashDetector implements Component {
  readonly #options: CrashDetectorOptions;
  readonly #waiting = new Set<WaitingLoss>();
  /** By id and address of the target. */
  readonly #probes = new Map<string, RunningProbe>();
  #cancelExpiry: CancelTimer | undefined;
  #optionalProbeAt = -Infinity;

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

  /** Records a request whose connection was lost. Resolves once its target was probed. */
  async recordLostConnection(loss: Loss): Promise<void> {
    const waiting = this.#wait(loss);
    if (waiting === undefined) return;
    const result = await this.check(loss.state.target, waiting.lostAt);
    // Whatever ends this target later does not belong to the request.
    if (result === 'accepted') this.#clear(waiting);
    if (result === 'refused') this.#confirm(waiting, 'connection-refused');
    if (result === 'reused') this.#confirm(waiting, 'address-reused');
  }

  /**
   * Records a request whose caller left, which closed its connection from here, or that was answered
   * with an error. Most of such targets live on, so few are probed.
   */
  async recordUncertain(loss: Loss): Promise<void> {
    const now = this.#options.clock.monotonic();
    if (now - this.#optionalProbeAt < OPTIONAL_PROBE_INTERVAL_MILLISECONDS) {
      this.recordSilence(loss);
      return;
    }
    this.#optionalProbeAt = now;
    await this.recordLostConnection(loss);
  }

  /**
   * Records a request that was given up without a response. Its target is not probed: a process that
   * was paused gives up many at once, and would open as many connections.
   */
  recordSilence(loss: Loss): void {
    this.#wait(loss);
  }

  /** Records that a target has responded to a request that was sent at `sentAt`. */
  recordResponse(state: TargetState, sentAt: number): void {
    if (this.#waiting.size === 0) return;
    for (const loss of this.#waitingAt(state)) {
      if (loss.lostAt + ENDING_MILLISECONDS <= sentAt) this.#clear(loss);
    }
  }

  /** Records that another server answered at the target's address. */
  recordAddressReused(state: TargetState): void {
    for (const loss of this.#waitingAt(state)) this.#confirm(loss, 'address-reused');
  }

  /** Records that nothing listened at the target's address. */
  recordRefusedConnection(state: TargetState): void {
    if (this.#waiting.size === 0) return;
    for (const loss of this.#waitingAt(state)) this.#confirm(loss, 'connection-refused');
  }

  /**
   * Probes a target that was lost at `lostAt`. An earlier probe that is under way may only show that
   * it had not ended by then.
   */
  async check(target: ProbedTarget, lostAt: number): Promise<ProbeResult> {
    for (;;) {
      const { startedAt, result } = this.#probe(target);
      const found = await result;
      if (found !== 'accepted' || startedAt >= lostAt) return found;
    }
  }

  #probe(target: ProbedTarget): RunningProbe {
    const key = `${target.id} ${target.address}`;
    const running = this.#probes.get(key);
    if (running !== undefined) return running;
    const result = this.#options.prober.probe(target).finally(() => {
      this.#probes.delete(key);
    });
    const probe = { startedAt: this.#options.clock.monotonic(), result };
    this.#probes.set(key, probe);
    return probe;
  }

  #confirmByList(state: TargetState, end: TargetEnd): void {
    for (const loss of this.#waitingAt(state)) {
      if (!isBornBefore(end, loss)) this.#confirm(loss, `list-${end.kind}`);
    }
  }

  #confirm(loss: WaitingLoss, evidence: CrashEvidence): void {
    if (this.#waiting.delete(loss)) loss.onCrash(evidence, loss.lostAt);
  }

  #clear(loss: WaitingLoss): void {
    if (this.#waiting.delete(loss)) loss.onAlive?.();
  }

  #waitingAt(state: TargetState): readonly WaitingLoss[] {
    this.#expire();
    return [...this.#waiting].filter((loss) => loss.state === state);
  }

  /** Returns undefined if it is known already how the target ended. */
  #wait(loss: Loss): WaitingLoss | undefined {
    const { state, onCrash } = loss;
    const { clock } = this.#options;
    const waiting = { ...loss, lostAt: clock.monotonic(), lostOn: clock.now() };
    if (state.end !== undefined) {
      onCrash(`list-${state.end.kind}`, waiting.lostAt);
      return undefined;
    }
    const [oldest] = this.#waiting;
    if (this.#waiting.size >= WAITING_LIMIT && oldest !== undefined) this.#waiting.delete(oldest);
    this.#waiting.add(waiting);
    this.#scheduleExpiry();
    return waiting;
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

/** Whether the list shows a run of the target that may have run the request itself. */
function isBornBefore(end: TargetEnd, { lostOn }: WaitingLoss): boolean {
  return end.kind === 'restarted' && end.bornAt !== undefined && end.bornAt <= lostOn;
}
