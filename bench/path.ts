import { Agent, request } from 'undici';
import { MultiProcessSystem } from '../scripts/separate/system';
import { formatAddress } from '../src/core';
import { INSTANT_ENGINE, LOCAL_KEY } from '../src/local';
import { Latencies, printLine, round, runAtOnce } from './figures';
import { processorSeconds } from './processes';

/** One kind of call, made through martenbay and straight at the stand-in. */
interface CallKind {
  readonly name: string;
  readonly path: string;
  readonly directPath: string;
  readonly target: 'engine-1' | 'check-in-1';
  readonly body: object;
}

const TOKENS = 16;

function chat(name: string, stream: boolean): CallKind {
  const messages = [{ role: 'user', content: `Which seat? [tokens=${TOKENS}]` }];
  const path = '/v1/chat/completions';
  return {
    name,
    path,
    directPath: path,
    target: 'engine-1',
    body: { model: 'stand-in', messages, stream },
  };
}

const KINDS: readonly CallKind[] = [
  chat('chat, whole', false),
  chat('chat, streamed', true),
  {
    name: 'service call',
    path: '/services/check-in/queue',
    directPath: '/queue',
    target: 'check-in-1',
    body: { queue: 4 },
  },
  {
    name: 'service call that may not be repeated',
    path: '/services/check-in/bag-fees',
    directPath: '/bag-fees',
    target: 'check-in-1',
    body: { bag: 1 },
  },
];

const WARM_UP_CALLS = 200;

const ENGINE = { ...INSTANT_ENGINE, 'batch-limit': 128 };

/** Which of the measurements to make. */
export interface PathOptions {
  readonly calls: number;
  /** Part of the names of the kinds of call. */
  readonly kind: string;
  readonly atOnce: readonly number[];
  /** Groups of programs, entries and engines. */
  readonly groups: number;
  readonly entries: number;
}

/** Latency through martenbay beside that of the stand-in alone, in one run. */
export async function benchPath(options: PathOptions): Promise<void> {
  const { calls } = options;
  const system = await MultiProcessSystem.start({
    entries: options.entries,
    engines: options.entries,
    programGroups: options.groups,
    engineSettings: ENGINE,
  });
  const agent = new Agent({ connections: 128 });
  const results: object[] = [];
  for (const kind of KINDS.filter(({ name }) => name.includes(options.kind))) {
    for (const atOnce of options.atOnce) {
      await measure(system, agent, kind, atOnce, WARM_UP_CALLS);
      results.push(await measure(system, agent, kind, atOnce, calls));
    }
  }
  await agent.close();
  await system.stop();
  printLine({ bench: 'path', calls, results });
}

async function measure(
  system: MultiProcessSystem,
  agent: Agent,
  kind: CallKind,
  atOnce: number,
  calls: number,
): Promise<object> {
  const target = system.layout.targets.find((entry) => entry.name === kind.target);
  if (target === undefined) throw new Error(`no target ${kind.target}`);
  const through = new Latencies();
  const direct = new Latencies();
  const before = ownSeconds(system);
  const started = performance.now();
  const entry = system.entryUrls[0] ?? '';
  await runAtOnce(calls, atOnce, async () => {
    through.add(await timeCall(agent, `${entry}${kind.path}`, kind.body));
  });
  const seconds = (performance.now() - started) / 1000;
  const processor = ownSeconds(system) - before;
  const directUrl = `http://${formatAddress(target.address)}${kind.directPath}`;
  await runAtOnce(calls, atOnce, async () => {
    direct.add(await timeCall(agent, directUrl, { ...kind.body, max_tokens: TOKENS }));
  });
  return {
    kind: kind.name,
    atOnce,
    milliseconds: {
      through: { p50: through.at(50), p99: through.at(99) },
      direct: { p50: direct.at(50), p99: direct.at(99) },
      difference: {
        p50: round(through.at(50) - direct.at(50)),
        p99: round(through.at(99) - direct.at(99)),
      },
    },
    ratio: {
      p50: round(through.at(50) / direct.at(50)),
      p99: round(through.at(99) / direct.at(99)),
    },
    requestsPerSecond: round(calls / seconds),
    requestsPerCoreSecond: round(calls / processor),
  };
}

/** Processor time of martenbay's own processes, without the stand-ins. */
function ownSeconds(system: MultiProcessSystem): number {
  return system.children
    .filter((child) => !child.name.startsWith('stand-in'))
    .reduce((sum, child) => sum + processorSeconds(child.pid), 0);
}

async function timeCall(agent: Agent, url: string, body: object): Promise<number> {
  const started = performance.now();
  const answer = await request(url, {
    dispatcher: agent,
    method: 'POST',
    headers: { authorization: `Bearer ${LOCAL_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) throw new Error(`${url}: ${answer.statusCode} ${text}`);
  return performance.now() - started;
}
