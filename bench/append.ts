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
import { LatencyHistogram, roundToThousandths, runConcurrently } from './measurement';

const COMMAND = JSON.stringify({ text: 'x'.repeat(500) });
const LEADER_POLL_MILLISECONDS = 20;

class CountingStateMachine implements StateMachine<number> {
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

/** Measures appends to replicated logs whose members run in this process, each with its own folder. */
export async function benchAppend(calls: number): Promise<object> {
  const folder = await mkdtemp(join(tmpdir(), 'martenbay-append-'));
  const direct = await measureDirectWrites(join(folder, 'bare'), calls);
  const results: object[] = [];
  for (const members of [1, 3]) {
    for (const concurrency of [1, 16, 256]) {
      results.push(
        await measureLog(join(folder, `${members}-${concurrency}`), members, concurrency, calls),
      );
    }
  }
  await rm(folder, { recursive: true });
  return {
    bytes: COMMAND.length,
    bareWriteAndSync: { p50: direct.percentile(50), p99: direct.percentile(99) },
    results,
  };
}

/** Baseline: sequential writes of the same bytes, each followed by fdatasync. */
async function measureDirectWrites(path: string, calls: number): Promise<LatencyHistogram> {
  const latencies = new LatencyHistogram();
  const file = await open(path, 'a');
  for (let call = 0; call < calls; call += 1) {
    const startedAt = performance.now();
    await file.write(COMMAND);
    await file.datasync();
    latencies.record(performance.now() - startedAt);
  }
  await file.close();
  return latencies;
}

async function measureLog(
  folder: string,
  members: number,
  concurrency: number,
  calls: number,
): Promise<object> {
  const logs = buildLogs(folder, members);
  await Promise.all(logs.map((log) => log.start()));
  const leader = await findLeader(logs);
  const latencies = new LatencyHistogram();
  const startedAt = performance.now();
  await runConcurrently(calls, concurrency, async () => {
    const proposedAt = performance.now();
    await leader.propose(COMMAND);
    latencies.record(performance.now() - proposedAt);
  });
  const seconds = (performance.now() - startedAt) / 1000;
  await Promise.all(logs.map((log) => log.stop()));
  return {
    members,
    atOnce: concurrency,
    milliseconds: { p50: latencies.percentile(50), p99: latencies.percentile(99) },
    commitsPerSecond: roundToThousandths(calls / seconds),
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
      machine: new CountingStateMachine(),
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
    await delay(new SystemClock(), LEADER_POLL_MILLISECONDS);
  }
}
