import type { ProcessSignals } from '../core/process-signals';
import { runLocalCommand } from '../local';

export function runLocal(signals: ProcessSignals): Promise<void> {
  return runLocalCommand(signals);
}
