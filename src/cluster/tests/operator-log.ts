import type { Clock } from '../../core';
import {
  type ConfigurationText,
  type PackedText,
  type VersionedConfiguration,
  packText,
  packedLengthOf,
} from '..';
import type { SimulatedProcess } from './simulated-process';

/** What an operator has sent, what was acknowledged, and what was read back. */
export class OperatorLog {
  readonly #clock: Clock;
  readonly #onViolation: (violation: string) => void;
  readonly #texts = new Map<number, PackedText>();
  /** Acknowledged versions above all earlier ones, with their times. */
  readonly #acknowledgements: { readonly version: number; readonly at: number }[] = [];
  #sent = 0;
  #acknowledged = 0;
  #read = 0;
  /** Called once, in the moment of the next acknowledgement. */
  onNextAcknowledgement: (() => void) | undefined;

  constructor(clock: Clock, onViolation: (violation: string) => void) {
    this.#clock = clock;
    this.#onViolation = onViolation;
  }

  get newestAcknowledged(): number {
    return this.#acknowledged;
  }

  /** Newest version that was acknowledged at least `milliseconds` ago. */
  acknowledgedFor(milliseconds: number): number {
    const before = this.#clock.monotonic() - milliseconds;
    return this.#acknowledgements.findLast(({ at }) => at <= before)?.version ?? 0;
  }

  /** Newest version read since {@link forgetReads}. */
  get newestRead(): number {
    return this.#read;
  }

  forgetReads(): void {
    this.#read = 0;
  }

  /** Records a configuration that is sent other than by {@link propose}. */
  recordSent(version: number, text: string): void {
    this.#texts.set(version, packText(text));
  }

  /** Sends the next version through a process. */
  propose(process: SimulatedProcess): void {
    this.#sent += 1;
    const version = this.#sent;
    this.recordSent(version, textOf(version));
    process.client.configure(version, textOf(version)).then(
      () => {
        if (process.isRunning) this.#recordAcknowledgement(version);
      },
      () => undefined,
    );
  }

  #recordAcknowledgement(version: number): void {
    if (version > this.#acknowledged) {
      this.#acknowledgements.push({ version, at: this.#clock.monotonic() });
    }
    this.#acknowledged = Math.max(this.#acknowledged, version);
    const action = this.onNextAcknowledgement;
    this.onNextAcknowledgement = undefined;
    action?.();
  }

  /** Reads through a process; the answer may not be older than what was acknowledged before. */
  read(process: SimulatedProcess): void {
    const acknowledged = this.#acknowledged;
    process.client.readConfiguration().then(
      (configuration) => {
        if (process.isRunning) this.#recordRead(process.host, acknowledged, configuration);
      },
      () => undefined,
    );
  }

  #recordRead(
    host: string,
    acknowledged: number,
    configuration: ConfigurationText | undefined,
  ): void {
    const version = configuration?.version ?? 0;
    if (configuration !== undefined) {
      this.check(host, { version, text: packText(configuration.text) });
    }
    this.#read = Math.max(this.#read, version);
    if (version >= acknowledged) return;
    const now = this.#clock.monotonic();
    this.#onViolation(`${now} ms: ${host} read ${version} after ${acknowledged} was acknowledged`);
  }

  /** Checks that a configuration has the text sent under its version. */
  check(host: string, { version, text }: VersionedConfiguration): void {
    const sent = this.#texts.get(version);
    if (sent !== undefined && contentOf(sent) === contentOf(text)) return;
    const characters = packedLengthOf(text);
    this.#onViolation(`${host} has another configuration ${version}, of ${characters} characters`);
  }
}

function contentOf(packed: PackedText): string {
  return typeof packed === 'string' ? packed : packed.deflated;
}

function textOf(version: number): string {
  return `text of ${version}`;
}
