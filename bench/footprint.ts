import { Agent, request } from 'undici';
import type { SystemProcess } from '../scripts/separate/system-process';
import { MultiProcessSystem } from '../scripts/separate/system';
import { SystemClock, delay } from '../src/core';
import { LOCAL_KEY } from '../src/local';
import { printLine, round, runAtOnce } from './figures';
import { processorSeconds, residentMegabytes, transferredBytes } from './processes';

interface Reading {
  readonly processor: number;
  readonly bytes: number;
}

const WINDOW_MILLISECONDS = 5000;
const AT_ONCE = 16;

/** Memory, processor share and bytes a second of each role, idle and under load. */
export async function benchFootprint(programGroups: number): Promise<void> {
  const system = await MultiProcessSystem.start({ programGroups });
  const idle = await observe(system, () => delay(new SystemClock(), WINDOW_MILLISECONDS));
  const agent = new Agent({ connections: AT_ONCE });
  let calls = 0;
  const loaded = await observe(system, async () => {
    const end = performance.now() + WINDOW_MILLISECONDS;
    await runAtOnce(AT_ONCE, AT_ONCE, async (index) => {
      while (performance.now() < end) {
        await callOnce(agent, system.entryUrls[index % 2] ?? '');
        calls += 1;
      }
    });
  });
  await agent.close();
  await system.stop();
  const callsPerSecond = round((calls / WINDOW_MILLISECONDS) * 1000);
  printLine({ bench: 'footprint', programGroups, callsPerSecond, idle, loaded });
}

/** What each of martenbay's processes used while something went on. */
async function observe(system: MultiProcessSystem, during: () => Promise<void>): Promise<object> {
  const children = system.children.filter((child) => /^(entry|control|sidecar)/.test(child.name));
  const before = new Map(children.map((child) => [child.name, read(child)]));
  const started = performance.now();
  await during();
  const seconds = (performance.now() - started) / 1000;
  return Object.fromEntries(
    children.map((child) => {
      const after = read(child);
      const start = before.get(child.name) ?? after;
      return [
        child.name,
        {
          residentMegabytes: round(residentMegabytes(child.pid)),
          corePercent: round(((after.processor - start.processor) / seconds) * 100),
          bytesPerSecond: Math.round((after.bytes - start.bytes) / seconds),
        },
      ];
    }),
  );
}

function read(child: SystemProcess): Reading {
  return { processor: processorSeconds(child.pid), bytes: transferredBytes(child.pid) };
}

async function callOnce(agent: Agent, entry: string): Promise<void> {
  const answer = await request(`${entry}/v1/chat/completions`, {
    dispatcher: agent,
    method: 'POST',
    headers: { authorization: `Bearer ${LOCAL_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'stand-in',
      messages: [{ role: 'user', content: 'Which seat? [tokens=16]' }],
      stream: true,
    }),
  });
  await answer.body.text();
}
