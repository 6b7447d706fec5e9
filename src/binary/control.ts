import { createControlProcess } from '../control';
import { controlSettingsSchema } from '../settings';
import { runBinary } from './run';

void runBinary({
  name: 'martenbay-control',
  role: 'control',
  description:
    'Stores the accepted configuration, program records, histories and budgets; needs a disk.',
  schema: controlSettingsSchema,
  create: createControlProcess,
});
