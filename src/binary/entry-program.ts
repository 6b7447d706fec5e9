import type { ProcessSignals } from '../core/process-signals';
import { createEntryProcess } from '../entry';
import { entrySettingsSchema } from '../settings';
import { runBinary } from './run';

export function runEntry(signals: ProcessSignals): Promise<void> {
  return runBinary({
    signals,
    name: 'martenbay-entry',
    role: 'entry',
    description: 'Accepts requests of callers and routes them to targets.',
    schema: entrySettingsSchema,
    create: createEntryProcess,
  });
}
