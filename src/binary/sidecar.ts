import { createSidecarProcess } from '../sidecar';
import { sidecarSettingsSchema } from '../settings';
import { runBinary } from './run';

void runBinary({
  name: 'martenbay-sidecar',
  role: 'sidecar',
  description: 'Runs next to one target: admits calls, reports load, executes orders, drains.',
  schema: sidecarSettingsSchema,
  create: createSidecarProcess,
});
