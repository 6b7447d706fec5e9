import type * as z from 'zod';
import { type Clock, type ProcessSignals, formatIssue } from '../core';
import { type SettingsError, readModificationTime, safeLoadSettings } from './load';

const RETRY_MILLISECONDS = 100;

/** Time after which settings that are not valid are taken for final, and not for half written. */
const WAIT_MILLISECONDS = 10_000;

export type InitialSettings<Settings> =
  | {
      readonly kind: 'valid';
      readonly settings: Settings;
      /** Modification time of the file before it was read; milliseconds. */
      readonly modifiedAt: number;
    }
  | { readonly kind: 'invalid' }
  /** A stop signal was received meanwhile. */
  | { readonly kind: 'stopped' };

export interface InitialSettingsOptions<Schema extends z.ZodType> {
  readonly schema: Schema;
  readonly file: string;
  readonly signals: Pick<ProcessSignals, 'stopSignal' | 'onStop'>;
  readonly clock: Clock;
  /** Called with each new text of what is wrong. */
  readonly report: (text: string) => void;
}

/** Reads the settings of a process that starts, which may be written at the same time. */
export async function readInitialSettings<Schema extends z.ZodType>(
  options: InitialSettingsOptions<Schema>,
): Promise<InitialSettings<z.output<Schema>>> {
  const { schema, file, signals, clock, report } = options;
  const deadline = clock.monotonic() + WAIT_MILLISECONDS;
  let reported = '';
  for (;;) {
    const modifiedAt = readModificationTime(file);
    const result = safeLoadSettings(schema, file);
    if (result.ok) return { kind: 'valid', settings: result.val, modifiedAt };
    const text = describe(result.val);
    if (text !== reported) report(text);
    reported = text;
    if (clock.monotonic() >= deadline) return { kind: 'invalid' };
    await new Promise<void>((resolve) => {
      clock.after(RETRY_MILLISECONDS, resolve);
      signals.onStop(() => {
        resolve();
      });
    });
    if (signals.stopSignal !== undefined) return { kind: 'stopped' };
  }
}

function describe({ issues }: SettingsError): string {
  return issues.map(formatIssue).join('\n');
}
