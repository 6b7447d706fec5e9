import { createEntryProcess } from '../entry';
import { entrySettingsSchema } from '../settings';
import { runBinary } from './run';

void runBinary({
  name: 'martenbay-entry',
  role: 'entry',
  description: 'Accepts requests of callers and routes them to targets.',
  schema: entrySettingsSchema,
  create: createEntryProcess,
});
