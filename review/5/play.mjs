// The operator changes a large configuration many times. Then one machine of the core loses its disk
// and comes back with an empty one. The platform ends each process that goes over its memory and
// starts it again, and the operator reads the configuration back at the end.
import { mkdirSync, readFileSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { configure, InstanceList, send, untilReady } from '../common-2/http.mjs';
import { runCase } from '../common-2/record.mjs';
import { PlainServer } from '../common-2/server.mjs';
import { sleep, System } from '../common-2/system.mjs';

/** `limits.memoryMb` of the core machines of the deployment jadeharbour-loans-grown. */
const MEMORY_MB = 178;

/** Routes that the configuration grows by in that deployment, at most. */
const ROUTES = 1604;

const CHANGES = 75;

const CHANGE_INTERVAL_MILLISECONDS = 250;

/** Time for which the machine is down. */
const DOWN_MILLISECONDS = 2000;

/** `catchUpS` and `contactMs` of that deployment. */
const CATCH_UP_MILLISECONDS = 6000;
const CONTACT_MILLISECONDS = 4000;

const OBSERVED_MILLISECONDS = 30_000;

/** The platform starts a process that has ended again after a short delay. */
const RESTART_MILLISECONDS = 500;

/** Ends of one process that count as a fault. */
const FAULT_ENDS = 3;

const HOST_NAME = 'ledger.example';

function configurationOf(version) {
  const route = {
    ...{ hostname: HOST_NAME, kind: 'non_idempotent', timeoutMs: 3000 + version, priority: 0 },
    ...{ targetLatencyMs: 413, service: 'ledger', maxAttempts: 2, retains: false, sticky: false },
    ...{ resumable: false },
  };
  const pad = (index) => String(index).padStart(5, '0');
  return {
    version,
    routes: Array.from({ length: ROUTES }, (_, index) => ({
      ...{ name: `r-${pad(index)}`, pathPrefix: `/ledger${pad(index)}/` },
      ...route,
    })),
    services: [
      { name: 'ledger', healthPath: '/health', maxConns: 220, protocol: 'h1', tls: false },
    ],
    limits: {
      ...{ maxHeaderBytes: 16384, maxBodyBytes: 4194304 },
      ...{ headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    },
  };
}

/** Resident memory of a process in MB; undefined if it has ended. */
function memoryOf(pid) {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const kilobytes = /^VmRSS:\s+(\d+)/m.exec(status)?.[1];
    return kilobytes === undefined ? undefined : Number(kilobytes) / 1024;
  } catch {
    return undefined;
  }
}

await runCase(import.meta.dirname, async ({ note, onEnd, hasTrouble }) => {
  const server = new PlainServer({ id: 'i-1', service: 'ledger' });
  await server.start();
  onEnd(() => server.stop());
  const list = new InstanceList();
  list.entries = () => [
    {
      ...{ id: server.id, service: server.service, address: server.address, zone: 'zone-1' },
      ...{ version: 'v1', slots: 6, state: 'ready', coldRemainingMs: 0 },
    },
  ];
  await list.start();
  onEnd(() => list.stop());
  const system = new System(note);
  onEnd(() => system.stop());
  await system.create({ listAddress: list.address });
  system.start();

  const peaks = new Map(system.gateways.map(({ name }) => [name, 0]));
  const ends = new Map(system.gateways.map(({ name }) => [name, 0]));
  const waiting = new Set();
  const platform = setInterval(() => {
    for (const gateway of system.gateways) {
      const { name, pid } = gateway;
      const memory = memoryOf(pid);
      if (waiting.has(name) || memory === undefined) continue;
      peaks.set(name, Math.max(peaks.get(name), memory));
      if (memory <= MEMORY_MB) continue;
      ends.set(name, ends.get(name) + 1);
      note('over-memory', { name, pid, megabytes: Math.round(memory) });
      waiting.add(name);
      void gateway.kill().then(async () => {
        await sleep(RESTART_MILLISECONDS);
        if (!isOver) gateway.start();
        waiting.delete(name);
      });
    }
  }, 10);
  let isOver = false;
  onEnd(() => {
    isOver = true;
    clearInterval(platform);
  });

  await configure(system.gateways, configurationOf(1), note);
  await untilReady(system.gateways);
  system.endFirstStart();
  await sleep(1000);
  for (let version = 2; version <= CHANGES; version += 1) {
    await configure([system.gateways[version % 3]], configurationOf(version), note);
    await sleep(CHANGE_INTERVAL_MILLISECONDS);
  }
  note('changes-made', { bytes: JSON.stringify(configurationOf(1)).length, peaks: [...peaks] });
  await sleep(CONTACT_MILLISECONDS);
  if ([...ends.values()].some((count) => count > 0))
    throw new Error('over memory before the trouble');

  const [, , lost] = system.gateways;
  if (hasTrouble) {
    waiting.add(lost.name);
    note('disk-lost', { name: lost.name });
    await lost.kill();
    const folder = join(system.folder, lost.name);
    rmSync(folder, { recursive: true });
    mkdirSync(folder);
    await sleep(DOWN_MILLISECONDS);
    lost.start();
    waiting.delete(lost.name);
  }
  await sleep(OBSERVED_MILLISECONDS);
  const endedBefore = new Map(ends);

  let readBack;
  const readUntil = Date.now() + CATCH_UP_MILLISECONDS + CONTACT_MILLISECONDS;
  for (let count = 0; readBack === undefined && Date.now() < readUntil; count += 1) {
    const { host, control: port } = system.gateways[count % 3];
    const answer = await send({ host, port, path: '/v1/Config.Read', timeout: 1000 });
    note('read-back', { status: answer.status, error: answer.error });
    if (answer.status === 200) readBack = JSON.parse(answer.text).version;
    else await sleep(200);
  }
  note('counted', { peaks: [...peaks], ends: [...endedBefore], readBack });
  if (readBack !== CHANGES) return `CONFIG: read back ${readBack} instead of version ${CHANGES}`;
  const faulty = system.gateways
    .filter((gateway) => gateway !== lost && endedBefore.get(gateway.name) >= FAULT_ENDS)
    .map(({ name }) => name);
  if (2 * faulty.length < system.gateways.length) return undefined;
  return `Fault: ${faulty.join(' and ')}, which had no disturbance, ended by themselves ${FAULT_ENDS} times or more`;
});
