import { mkdtemp, open, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SystemClock, SystemRandom, delay } from '../src/core';
import {
  type Envelope,
  ReplicatedLog,
  type StateMachine,
  destinationHostOf,
} from '../src/replication';
import { SegmentedStore } from '../src/storage';
import { Latencies, round, runAtOnce } from './figures';

const COMMAND = JSON.stringify({ text: 'x'.repeat(500) });
const READY_MILLISECONDS = 20;

/** A state that counts. */
class Counter implements StateMachine<number> {
  #count = 0;

  apply(): number {
    this.#count += 1;
    return this.#count;
  }

  snapshot(): Iterable<string> {
    return [String(this.#count)];
  }

  restore([count]: readonly string[]): void {
    this.#count = Number(count);
  }
}

/** Appends through members of a log in this process, each with a disk folder of its own. */
export async function benchAppend(calls: number): Promise<object> {
  const folder = await mkdtemp(join(tmpdir(), 'martenbay-append-'));
  const bare = await measureBare(join(folder, 'bare'), calls);
  const results: object[] = [];
  for (const members of [1, 3]) {
    for (const atOnce of [1, 16, 256]) {
      results.push(await measureLog(join(folder, `${members}-${atOnce}`), members, atOnce, calls));
    }
  }
  await rm(folder, { recursive: true });
  return {
    bytes: COMMAND.length,
    bareWriteAndSync: { p50: bare.at(50), p99: bare.at(99) },
    results,
  };
}

/** A write and a sync of the same bytes, one after the other. */
async function measureBare(path: string, calls: number): Promise<Latencies> {
  const latencies = new Latencies();
  const file = await open(path, 'a');
  for (let call = 0; call < calls; call += 1) {
    const started = performance.now();
    await file.write(COMMAND);
    await file.datasync();
    latencies.add(performance.now() - started);
  }
  await file.close();
  return latencies;
}

async function measureLog(
  folder: string,
  members: number,
  atOnce: number,
  calls: number,
): Promise<object> {
  const logs = buildLogs(folder, members);
  await Promise.all(logs.map((log) => log.start()));
  const leader = await findLeader(logs);
  const latencies = new Latencies();
  const started = performance.now();
  await runAtOnce(calls, atOnce, async () => {
    const proposed = performance.now();
    await leader.propose(COMMAND);
    latencies.add(performance.now() - proposed);
  });
  const seconds = (performance.now() - started) / 1000;
  await Promise.all(logs.map((log) => log.stop()));
  return {
    members,
    atOnce,
    milliseconds: { p50: latencies.at(50), p99: latencies.at(99) },
    commitsPerSecond: round(calls / seconds),
  };
}

function buildLogs(folder: string, members: number): readonly ReplicatedLog<number>[] {
  const names = Array.from({ length: members }, (_, index) => `member-${index}`);
  const logs = new Map<string, ReplicatedLog<number>>();
  const send = (envelope: Envelope) => {
    setImmediate(() => logs.get(destinationHostOf(envelope))?.receive([envelope]));
  };
  for (const name of names) {
    const log = new ReplicatedLog<number>({
      self: name,
      hosts: () => names,
      store: new SegmentedStore({ folder: join(folder, name) }),
      transport: { send },
      machine: new Counter(),
      clock: new SystemClock(),
      random: new SystemRandom(),
    });
    logs.set(name, log);
  }
  return [...logs.values()];
}

async function findLeader(logs: readonly ReplicatedLog<number>[]): Promise<ReplicatedLog<number>> {
  for (;;) {
    const leader = logs.find((log) => log.serves);
    if (leader !== undefined) return leader;
    await delay(new SystemClock(), READY_MILLISECONDS);
  }
}
