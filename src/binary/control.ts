import { createControlProcess } from '../control';
import { controlSettingsSchema } from '../settings';
import { runBinary } from './run';

void runBinary({
  name: 'martenbay-control',
  role: 'control',
  description:
    'Keeps the accepted configuration, program records, histories and budgets; runs on hosts with a disk.',
  schema: controlSettingsSchema,
  create: createControlProcess,
});
