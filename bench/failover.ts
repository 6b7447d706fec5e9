import { MultiProcessSystem } from '../scripts/separate/system';
import { Latencies } from './figures';

/** Time from the kill of a leader until another one answers, of the configuration's group. */
export async function benchFailover(kills: number): Promise<object> {
  const system = await MultiProcessSystem.start({ entries: 1, engines: 1, programGroups: 1 });
  const latencies = new Latencies();
  for (let count = 0; count < kills; count += 1) {
    const { leader } = await system.group('configuration');
    const child = system.child(leader);
    child.signal('SIGKILL');
    const killed = performance.now();
    await system.status();
    latencies.add(performance.now() - killed);
    await child.exited;
    await system.restart(leader);
    await system.child(leader).waitForLog((line) => line['leader'] !== undefined);
  }
  await system.stop();
  return { kills, milliseconds: { p50: latencies.at(50), p99: latencies.at(99) } };
}
