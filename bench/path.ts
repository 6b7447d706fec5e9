import { Agent, request } from 'undici';
import { MultiProcessSystem } from '../scripts/separate/system';
import { formatAddress } from '../src/core';
import { INSTANT_ENGINE, LOCAL_KEY } from '../src/local';
import { LatencyHistogram, printLine, roundToThousandths, runConcurrently } from './measurement';
import { processorSeconds } from './processes';

/** One kind of call, sent through martenbay and directly to the stand-in. */
interface CallKind {
  readonly name: string;
  readonly path: string;
  readonly directPath: string;
  readonly target: 'engine-1' | 'check-in-1';
  readonly body: object;
}

const OUTPUT_TOKENS = 16;

function createChatKind(name: string, stream: boolean): CallKind {
  const messages = [{ role: 'user', content: `Which seat? [tokens=${OUTPUT_TOKENS}]` }];
  const path = '/v1/chat/completions';
  return {
    name,
    path,
    directPath: path,
    target: 'engine-1',
    body: { model: 'stand-in', messages, stream },
  };
}

const CALL_KINDS: readonly CallKind[] = [
  createChatKind('chat, whole', false),
  createChatKind('chat, streamed', true),
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

const ENGINE_SETTINGS = { ...INSTANT_ENGINE, 'batch-limit': 128 };

export interface PathOptions {
  /** Calls of each kind. */
  readonly calls: number;
  /** Runs only the kinds of call whose names contain this text. */
  readonly kind: string;
  /** Numbers of concurrent calls. */
  readonly atOnce: readonly number[];
  /** Number of program groups. */
  readonly groups: number;
  /** Number of entries, and of engines. */
  readonly entries: number;
}

/** Latency through martenbay compared with direct calls of the stand-in in the same run. */
export async function benchPath(options: PathOptions): Promise<void> {
  const { calls } = options;
  const system = await MultiProcessSystem.start({
    entries: options.entries,
    engines: options.entries,
    programGroups: options.groups,
    engineSettings: ENGINE_SETTINGS,
  });
  const agent = new Agent({ connections: 128 });
  const results: object[] = [];
  for (const kind of CALL_KINDS.filter(({ name }) => name.includes(options.kind))) {
    for (const concurrency of options.atOnce) {
      await measure(system, agent, kind, concurrency, WARM_UP_CALLS);
      results.push(await measure(system, agent, kind, concurrency, calls));
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
  concurrency: number,
  calls: number,
): Promise<object> {
  const target = system.layout.targets.find((entry) => entry.name === kind.target);
  if (target === undefined)
    throw new Error(`no target "${kind.target}" in the layout of the system`);
  const proxied = new LatencyHistogram();
  const direct = new LatencyHistogram();
  const before = martenbayProcessorSeconds(system);
  const startedAt = performance.now();
  const entry = system.entryUrls[0] ?? '';
  await runConcurrently(calls, concurrency, async () => {
    proxied.record(await timeCall(agent, `${entry}${kind.path}`, kind.body));
  });
  const seconds = (performance.now() - startedAt) / 1000;
  const processor = martenbayProcessorSeconds(system) - before;
  const directUrl = `http://${formatAddress(target.address)}${kind.directPath}`;
  await runConcurrently(calls, concurrency, async () => {
    direct.record(await timeCall(agent, directUrl, { ...kind.body, max_tokens: OUTPUT_TOKENS }));
  });
  return {
    kind: kind.name,
    atOnce: concurrency,
    milliseconds: {
      through: { p50: proxied.percentile(50), p99: proxied.percentile(99) },
      direct: { p50: direct.percentile(50), p99: direct.percentile(99) },
      difference: {
        p50: roundToThousandths(proxied.percentile(50) - direct.percentile(50)),
        p99: roundToThousandths(proxied.percentile(99) - direct.percentile(99)),
      },
    },
    ratio: {
      p50: roundToThousandths(proxied.percentile(50) / direct.percentile(50)),
      p99: roundToThousandths(proxied.percentile(99) / direct.percentile(99)),
    },
    requestsPerSecond: roundToThousandths(calls / seconds),
    requestsPerCoreSecond: roundToThousandths(calls / processor),
  };
}

/** Processor time of all processes except the stand-ins; seconds. */
function martenbayProcessorSeconds(system: MultiProcessSystem): number {
  return system.children
    .filter((child) => !child.name.startsWith('stand-in'))
    .reduce((sum, child) => sum + processorSeconds(child.pid), 0);
}

async function timeCall(agent: Agent, url: string, body: object): Promise<number> {
  const startedAt = performance.now();
  const response = await request(url, {
    dispatcher: agent,
    method: 'POST',
    headers: { authorization: `Bearer ${LOCAL_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200)
    throw new Error(`${url}: expected status 200, got ${response.statusCode}: ${text}`);
  return performance.now() - startedAt;
}
