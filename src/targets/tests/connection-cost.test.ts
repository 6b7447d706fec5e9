import { SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import {
  DEFAULT_DECISION_SWITCHES,
  createPlacementPolicies,
  newConnectionMilliseconds,
} from '../../decisions';
import { TargetChooser, TargetDirectory, type TargetState } from '..';

const TARGET_COUNT = 24;
const REQUEST_COUNT = 600;
const REQUESTS_IN_FLIGHT = 3;
const SMALL_GATEWAY_SHARE = 0.184;

/** Sends requests of one gateway to idle targets; counts connections and the highest load. */
function sendRequests(processorShare: number | undefined) {
  const clock = new ManualClock();
  const random = new SeededRandom(7);
  const targets = new TargetDirectory({
    source: { list: () => Promise.resolve([]) },
    clock,
    random,
    logger: createSilentLogger(),
  });
  targets.update(
    Array.from({ length: TARGET_COUNT }, (_, index) => ({
      ...{ id: `t${index}`, service: 's', address: `10.0.0.${index}:80`, slots: 6 },
      ...{ availabilityZone: 'a', draining: false },
    })),
  );
  const idle = new Map<string, number>();
  const connections = { hasIdle: ({ target }: TargetState) => (idle.get(target.id) ?? 0) > 0 };
  const connectionCost =
    processorShare === undefined
      ? undefined
      : { connections, newConnectionMilliseconds: newConnectionMilliseconds(processorShare) };
  const chooser = new TargetChooser({
    ...{ targets, availabilityZone: 'a', connectionCost, clock, random },
  });
  const policy = createPlacementPolicies(DEFAULT_DECISION_SWITCHES).slot;
  const inFlight: TargetState[] = [];
  let opened = 0;
  let highestLoad = 0;
  for (let request = 0; request < REQUEST_COUNT; request += 1) {
    const placement = { parts: [], promptTokens: 0, lastTarget: undefined, cachedTokens: 0 };
    const choice = chooser.choose({
      ...{ service: 's', policy, placement, tried: new Set<string>(), connectionLimit: 100 },
    });
    if (choice === undefined) throw new Error('no target was chosen');
    const { state } = choice;
    const idleCount = idle.get(state.target.id) ?? 0;
    if (idleCount === 0) opened += 1;
    else idle.set(state.target.id, idleCount - 1);
    state.inFlight += 1;
    highestLoad = Math.max(highestLoad, state.load);
    inFlight.push(state);
    const done = inFlight.length > REQUESTS_IN_FLIGHT ? inFlight.shift() : undefined;
    if (done === undefined) continue;
    done.inFlight -= 1;
    idle.set(done.target.id, (idle.get(done.target.id) ?? 0) + 1);
  }
  return { opened, highestLoad };
}

describe('connection cost', () => {
  // Guards against a connection to nearly every target from every small gateway.
  it('keeps a small gateway on the targets that it is connected to', () => {
    expect(sendRequests(undefined).opened).toBeGreaterThanOrEqual(TARGET_COUNT);
    expect(sendRequests(SMALL_GATEWAY_SHARE).opened).toBeLessThanOrEqual(2 * REQUESTS_IN_FLIGHT);
  });

  // Guards against requests that queue at a connected target while others are free.
  it('does not fill a connected target while others have free slots', () => {
    expect(sendRequests(SMALL_GATEWAY_SHARE).highestLoad).toBeLessThanOrEqual(2);
  });

  it('is lower the larger the host is', () => {
    expect(newConnectionMilliseconds(1)).toBeLessThan(newConnectionMilliseconds(0.2));
  });
});
