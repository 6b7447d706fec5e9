import type { EngineLoad } from '../decisions';
import type { TargetState } from './state';

/** Sums over the targets that are not paused. */
export function totalLoadOf(states: readonly TargetState[]): EngineLoad {
  const available = states.filter(({ isPaused }) => !isPaused);
  return {
    load: available.reduce((sum, state) => sum + state.load, 0),
    slots: available.reduce((sum, { target }) => sum + target.slots, 0),
  };
}
