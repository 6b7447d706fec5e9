import { Agent, request } from 'undici';
import type { SystemProcess } from '../scripts/separate/system-process';
import { MultiProcessSystem } from '../scripts/separate/system';
import { SystemClock, delay } from '../src/core';
import { LOCAL_KEY } from '../src/local';
import { printLine, roundToThousandths, runConcurrently } from './measurement';
import { processorSeconds, residentMegabytes, transferredBytes } from './processes';

interface ResourceUsage {
  /** Processor time in seconds. */
  readonly processor: number;
  /** Bytes read and written, sockets included. */
  readonly bytes: number;
}

const WINDOW_MILLISECONDS = 5000;
const CONCURRENCY = 16;

/** Memory, processor share and transferred bytes per second of each process, idle and under load. */
export async function benchFootprint(programGroups: number): Promise<void> {
  const system = await MultiProcessSystem.start({ programGroups });
  const idle = await measureUsage(system, () => delay(new SystemClock(), WINDOW_MILLISECONDS));
  const agent = new Agent({ connections: CONCURRENCY });
  let calls = 0;
  const loaded = await measureUsage(system, async () => {
    const end = performance.now() + WINDOW_MILLISECONDS;
    await runConcurrently(CONCURRENCY, CONCURRENCY, async (index) => {
      while (performance.now() < end) {
        await sendChatRequest(agent, system.entryUrls[index % 2] ?? '');
        calls += 1;
      }
    });
  });
  await agent.close();
  await system.stop();
  const callsPerSecond = roundToThousandths((calls / WINDOW_MILLISECONDS) * 1000);
  printLine({ bench: 'footprint', programGroups, callsPerSecond, idle, loaded });
}

/** Resource usage of each martenbay process while `work` runs. */
async function measureUsage(
  system: MultiProcessSystem,
  work: () => Promise<void>,
): Promise<object> {
  const children = system.children.filter((child) => /^(entry|control|sidecar)/.test(child.name));
  const before = new Map(children.map((child) => [child.name, readUsage(child)]));
  const startedAt = performance.now();
  await work();
  const seconds = (performance.now() - startedAt) / 1000;
  return Object.fromEntries(
    children.map((child) => {
      const after = readUsage(child);
      const start = before.get(child.name) ?? after;
      return [
        child.name,
        {
          residentMegabytes: roundToThousandths(residentMegabytes(child.pid)),
          corePercent: roundToThousandths(((after.processor - start.processor) / seconds) * 100),
          bytesPerSecond: Math.round((after.bytes - start.bytes) / seconds),
        },
      ];
    }),
  );
}

function readUsage(child: SystemProcess): ResourceUsage {
  return { processor: processorSeconds(child.pid), bytes: transferredBytes(child.pid) };
}

async function sendChatRequest(agent: Agent, entry: string): Promise<void> {
  const response = await request(`${entry}/v1/chat/completions`, {
    dispatcher: agent,
    method: 'POST',
    headers: { authorization: `Bearer ${LOCAL_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'stand-in',
      messages: [{ role: 'user', content: 'Which seat? [tokens=16]' }],
      stream: true,
    }),
  });
  await response.body.text();
}
