import type { ProcessSignals } from '../core/process-signals';
import { createControlProcess } from '../control';
import { controlSettingsSchema } from '../settings';
import { runBinary } from './run';

export function runControl(signals: ProcessSignals): Promise<void> {
  return runBinary({
    signals,
    name: 'martenbay-control',
    role: 'control',
    description:
      'Stores the accepted configuration, program records, histories and budgets; needs a disk.',
    schema: controlSettingsSchema,
    create: createControlProcess,
  });
}
