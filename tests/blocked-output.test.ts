import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, type IncomingMessage, request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { type Address, SystemClock, delay, formatAddress } from '../src/core';
import { findFreeAddresses } from '../src/local';

/** Requests at once. */
const BATCH = 500;

const POLL_MILLISECONDS = 50;

const agent = new Agent({ keepAlive: true, maxSockets: 16 });

function ask({ host, port }: Address, path: string): Promise<{ status: number; body: string }> {
  return new Promise((resolve, reject) => {
    const sent = request({ host, port, path, agent }, (answer: IncomingMessage) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.once('end', () => {
        resolve({ status: answer.statusCode ?? 0, body: Buffer.concat(chunks).toString() });
      });
    });
    sent.once('error', reject);
    sent.end();
  });
}

describe('a gateway whose standard output nobody reads', () => {
  const folder = mkdtempSync(join(tmpdir(), 'martenbay-output-'));
  const settings = join(folder, 'settings.toml');
  let gateway: ChildProcess;
  let callers: Address;
  let metrics: Address;

  beforeAll(async () => {
    const addresses = [...(await findFreeAddresses(Array.from({ length: 6 }, () => '127.0.0.1')))];
    const next = () => {
      const address = addresses.shift();
      if (address === undefined) throw new Error('too few free addresses');
      return address;
    };
    callers = next();
    metrics = next();
    const operators = formatAddress(next());
    writeFileSync(
      settings,
      `[node]
name = "gateway"
availability-zone = "a"
address = "${formatAddress(next())}"
first-start = true
seeds = ["${operators}"]
tolerated-losses = 0
stop-seconds = 1
[listen]
callers = "${formatAddress(callers)}"
readiness = "${formatAddress(next())}"
operators = "${operators}"
metrics = "${formatAddress(metrics)}"
[target-list]
address = "${formatAddress(next())}"
calls-per-second = 10
`,
    );
    gateway = spawn(process.execPath, ['dist/platform-gateway.cjs'], {
      env: { MARTENBAY_NODE_FILE: settings },
      // The pipe has a reader that never reads.
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    for (;;) {
      const isUp = await ask(metrics, '/metrics').then(
        () => true,
        () => false,
      );
      if (isUp) return;
      await delay(new SystemClock(), POLL_MILLISECONDS);
    }
  });

  afterAll(async () => {
    agent.destroy();
    const ended = new Promise((resolve) => gateway.once('exit', resolve));
    gateway.kill('SIGKILL');
    await ended;
    rmSync(folder, { recursive: true });
  });

  /** Lines that were dropped so far. */
  const countDropped = async () => {
    const { body } = await ask(metrics, '/metrics');
    const count = /^martenbay_log_lines_dropped_total (\d+)$/m.exec(body)?.[1] ?? '0';
    return Number(count);
  };

  it('answers every request, until it drops lines and beyond', async () => {
    const statuses = new Set<number>();
    const askBatch = async () => {
      const asked = Array.from({ length: BATCH }, () => ask(callers, '/somewhere/a'));
      for (const { status } of await Promise.all(asked)) statuses.add(status);
    };
    // How much the system takes of an output that nobody reads differs from host to host.
    while ((await countDropped()) === 0) await askBatch();
    await askBatch();
    expect(statuses).toEqual(new Set([503]));
  });
});
