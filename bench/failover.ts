import { MultiProcessSystem } from '../scripts/separate/system';
import { LatencyHistogram } from './measurement';

/** Time from the kill of the configuration group's leader until a new leader answers. */
export async function benchFailover(kills: number): Promise<object> {
  const system = await MultiProcessSystem.start({ entries: 1, engines: 1, programGroups: 1 });
  const latencies = new LatencyHistogram();
  for (let count = 0; count < kills; count += 1) {
    const { leader } = await system.group('configuration');
    const child = system.child(leader);
    child.signal('SIGKILL');
    const killedAt = performance.now();
    await system.status();
    latencies.record(performance.now() - killedAt);
    await child.exited;
    await system.restart(leader);
    await system.child(leader).waitForLog((line) => line['leader'] !== undefined);
  }
  await system.stop();
  return { kills, milliseconds: { p50: latencies.percentile(50), p99: latencies.percentile(99) } };
}
