import { delay } from '../core';
import { ENDING_MILLISECONDS } from './crash-detector';
import type { CrashGuardOptions } from './crash-guard';
import type { Exposure } from './exposure-table';

/** Interval of the check whether other gateways found out what became of their attempts. */
const CONFIRMATION_INTERVAL_MILLISECONDS = 100;

export interface ExposureConfirmationOptions extends Pick<
  CrashGuardOptions,
  'table' | 'detector' | 'exchange' | 'clock'
> {
  /** Id of the request. */
  readonly request: string;
  readonly fingerprint: () => string;
}

/** Finds out what became of the open attempts of a request. */
export class ExposureConfirmation {
  readonly #options: ExposureConfirmationOptions;
  /** Attempts of other tries that still run, by request and target, as their gateways have told. */
  #running: ReadonlySet<string> = new Set();

  constructor(options: ExposureConfirmationOptions) {
    this.#options = options;
  }

  /** Whether the gateway of the attempt has told that it still runs. */
  isRunning(exposure: Exposure): boolean {
    return exposure.status === 'running' && this.#running.has(keyOf(exposure));
  }

  /**
   * Asks the other gateways, and probes the targets of attempts that stay open. The gateways that made
   * the attempts know best, so they are asked before any probe.
   */
  async run(ownProbes: ReadonlySet<Promise<void>>): Promise<void> {
    const { clock, exchange, fingerprint } = this.#options;
    const pause = delay(clock, CONFIRMATION_INTERVAL_MILLISECONDS);
    await exchange.report(fingerprint());
    this.#running = new Set((await exchange.verifyRunning(fingerprint())).map(keyOf));
    const checks = this.#openExposures(ownProbes.size > 0).map((exposure) => this.#check(exposure));
    await Promise.all([...ownProbes, ...checks, pause]);
  }

  /** Attempts of which it is not known what became of them, and that nothing else is probing. */
  #openExposures(probesOwn: boolean): readonly Exposure[] {
    const { table, fingerprint, request } = this.#options;
    return table
      .exposuresOf(fingerprint())
      .filter(({ status }) => status === 'unresolved')
      .filter((exposure) => !(probesOwn && exposure.request === request));
  }

  /** Probes the target of an attempt that is open. */
  async #check(exposure: Exposure): Promise<void> {
    const { table, detector, exchange, clock, fingerprint } = this.#options;
    const { target: id, service, address, lostAt } = exposure;
    const result = await detector.check({ id, service, address }, lostAt);
    const hasLived = result === 'accepted' && clock.monotonic() - lostAt >= ENDING_MILLISECONDS;
    const hasEnded = result === 'refused' || result === 'reused';
    if (!hasLived && !hasEnded) return;
    const status = hasEnded ? 'ended' : 'cleared';
    if (table.add(fingerprint(), [{ ...exposure, status }])) void exchange.report(fingerprint());
  }
}

function keyOf({ request, target }: Exposure): string {
  return `${request} ${target}`;
}
