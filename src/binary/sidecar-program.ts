import type { ProcessSignals } from '../core/process-signals';
import { createSidecarProcess } from '../sidecar';
import { sidecarSettingsSchema } from '../settings';
import { runBinary } from './run';

export function runSidecar(signals: ProcessSignals): Promise<void> {
  return runBinary({
    signals,
    name: 'martenbay-sidecar',
    role: 'sidecar',
    description: 'Runs next to one target: admits calls, reports load, executes orders, drains.',
    schema: sidecarSettingsSchema,
    create: createSidecarProcess,
  });
}
