import { ProcessSignals } from '../core/process-signals';

// The program is a file of its own, since signals must have handlers while it is loaded.
const signals = new ProcessSignals();

void import('./sidecar-program').then(({ runSidecar }) => runSidecar(signals));
