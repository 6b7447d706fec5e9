import { createSidecarProcess } from '../sidecar';
import { sidecarSettingsSchema } from '../settings';
import { runBinary } from './run';

void runBinary({
  name: 'martenbay-sidecar',
  role: 'sidecar',
  description: 'Stands beside one target: admission, load, orders, drain.',
  schema: sidecarSettingsSchema,
  create: createSidecarProcess,
});
