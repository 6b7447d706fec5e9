import { SeededRandom, SystemClock, createSilentLogger } from '../src/core';
import {
  INSTANT_ENGINE,
  type LocalSystem,
  type LocalSystemOptions,
  startLocalSystem,
} from '../src/local';

/** Starts a local system without log output whose engines answer at once. */
export function startTestSystem(
  seed: number,
  options: Partial<LocalSystemOptions> = {},
): Promise<LocalSystem> {
  return startLocalSystem({
    clock: new SystemClock(),
    random: new SeededRandom(seed),
    loggerFor: () => createSilentLogger(),
    ...options,
    engineSettings: { ...INSTANT_ENGINE, ...options.engineSettings },
  });
}
