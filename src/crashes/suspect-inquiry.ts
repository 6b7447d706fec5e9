import type { NodeInfo } from '../cluster';
import type { Clock } from '../core';
import type { RpcClient } from '../rpc';
import type { CrashContract, ExposureReport } from './contract';

const ANSWER_TIMEOUT_MILLISECONDS = 150;

/** Gateways that are asked at once. */
const ASKED_GATEWAYS = 3;

/** Time without a call of `repeat` after which this process was paused, and may lack messages. */
const PAUSE_MILLISECONDS = 1000;

export interface SuspectInquiryOptions {
  readonly self: NodeInfo;
  /** All known gateways but this one. */
  readonly gateways: () => readonly NodeInfo[];
  readonly peers: Pick<RpcClient<CrashContract>, 'call' | 'isConnected'>;
  readonly clock: Clock;
  readonly onReport: (report: ExposureReport) => void;
}

/** Asks other gateways for the suspect requests, after the start of this process or a pause of it. */
export class SuspectInquiry {
  readonly #options: SuspectInquiryOptions;
  /** The latest question; undefined as long as no other gateway is known. */
  #question: Promise<void> | undefined;
  #hasAnswer = false;
  /** Monotonic milliseconds. */
  #seenRunningAt: number;

  constructor(options: SuspectInquiryOptions) {
    this.#options = options;
    this.#seenRunningAt = options.clock.monotonic();
  }

  /** Whether another gateway has answered, and this process was not paused since. */
  get isAnswered(): boolean {
    return this.#hasAnswer && !this.#wasPaused;
  }

  /** Resolves once other gateways were asked; at once if none is known. */
  async whenAsked(): Promise<void> {
    this.#forgetAfterPause();
    if (this.#question === undefined && this.#options.gateways().length > 0) {
      this.#question = this.#ask();
    }
    await this.#question;
  }

  /** Asks if there was no answer so far. To be called several times a second. */
  repeat(): void {
    this.#forgetAfterPause();
    if (this.#question === undefined) void this.whenAsked();
    else if (!this.#hasAnswer) void this.#ask();
  }

  get #wasPaused(): boolean {
    return this.#options.clock.monotonic() - this.#seenRunningAt > PAUSE_MILLISECONDS;
  }

  #forgetAfterPause(): void {
    if (this.#wasPaused) {
      this.#hasAnswer = false;
      this.#question = undefined;
    }
    this.#seenRunningAt = this.#options.clock.monotonic();
  }

  async #ask(): Promise<void> {
    const { peers, self, gateways, onReport } = this.#options;
    const request = { gateway: self.name };
    const isConnected = ({ address }: NodeInfo) => peers.isConnected(address);
    const connectedFirst = gateways().toSorted(
      (left, right) => Number(isConnected(right)) - Number(isConnected(left)),
    );
    const answers = await Promise.allSettled(
      connectedFirst
        .slice(0, ASKED_GATEWAYS)
        .map(({ address }) =>
          peers.call(address, 'crashes.suspects', request, ANSWER_TIMEOUT_MILLISECONDS),
        ),
    );
    for (const answer of answers) {
      if (answer.status === 'fulfilled') for (const report of answer.value) onReport(report);
    }
    this.#hasAnswer = answers.some(({ status }) => status === 'fulfilled');
  }
}
