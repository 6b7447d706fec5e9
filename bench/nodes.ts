import { MultiProcessSystem } from '../scripts/separate/system';
import { type Component, SystemClock, createSilentLogger, delay } from '../src/core';
import { ControlClient, ControlSession } from '../src/protocol';
import { printLine, roundToThousandths } from './measurement';
import { processorSeconds, residentMegabytes, transferredBytes } from './processes';

const WINDOW_MILLISECONDS = 5000;
const SETTLE_MILLISECONDS = 2000;
const HEARTBEAT_MILLISECONDS = 1000;

/** Resource usage of one control host for each number of connected processes. */
export async function benchNodes(sizes: readonly number[]): Promise<void> {
  const system = await MultiProcessSystem.start({ controls: 1, entries: 1, engines: 1 });
  const { pid } = system.child('control-1');
  const results: object[] = [];
  for (const nodes of sizes) {
    const components = await connect(system, nodes);
    const before = { seconds: processorSeconds(pid), bytes: transferredBytes(pid) };
    const startedAt = performance.now();
    await delay(new SystemClock(), WINDOW_MILLISECONDS);
    const elapsed = (performance.now() - startedAt) / 1000;
    const seconds = processorSeconds(pid) - before.seconds;
    const bytes = transferredBytes(pid) - before.bytes;
    results.push({
      nodes,
      corePercent: roundToThousandths((seconds / elapsed) * 100),
      bytesPerSecond: Math.round(bytes / elapsed),
      bytesPerSecondAndNode: Math.round(bytes / elapsed / nodes),
      residentMegabytes: roundToThousandths(residentMegabytes(pid)),
    });
    for (const component of components) await component.stop?.();
  }
  await system.stop();
  printLine({ bench: 'nodes', heartbeatMilliseconds: HEARTBEAT_MILLISECONDS, results });
}

/** Connects clients that send heartbeats and wait for changes, as sidecars do. */
async function connect(system: MultiProcessSystem, count: number): Promise<readonly Component[]> {
  const clock = new SystemClock();
  const logger = createSilentLogger();
  const components: Component[] = [];
  for (let index = 0; index < count; index += 1) {
    const client = new ControlClient({
      members: system.layout.controlMembers,
      credential: system.layout.processCredential,
      clock,
    });
    const controlSession = new ControlSession({
      client,
      clock,
      logger,
      heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
      createHeartbeat: () => ({
        kind: 'sidecar',
        name: `node-${index}`,
        incarnation: 'bench',
        state: 'serving',
        configurationNumber: 1,
        target: `target-${index}`,
        load: { running: 0, waiting: 0 },
      }),
      watchPosition: () => ({ configurationNumber: 1, target: `target-${index}` }),
      onChanges: () => undefined,
    });
    controlSession.start();
    components.push(controlSession, client);
  }
  await delay(clock, SETTLE_MILLISECONDS);
  return components;
}
