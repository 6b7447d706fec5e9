import { readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { OPERATOR_CREDENTIAL } from '../scripts/separate/layout';
import { MultiProcessSystem } from '../scripts/separate/system';
import { type SourceFile, digestFiles } from '../src/configuration';
import { type Component, SystemClock, createSilentLogger, delay } from '../src/core';
import { ControlClient, ControlSession } from '../src/protocol';
import { Latencies } from './figures';

const CONNECT_MILLISECONDS = 3000;

/**
 * A connected process. All are in this one process, so that they only note the number that they
 * get: what reading the files takes is the work of as many processes elsewhere.
 */
interface Node {
  number: number;
  readonly parts: readonly Component[];
}

/** Time from an operator's apply until a change is in force at every one of many processes. */
export async function benchFanOut(sizes: readonly number[], changes: number): Promise<object> {
  const system = await MultiProcessSystem.start({ entries: 1, engines: 1, programGroups: 1 });
  const results: object[] = [];
  let number = 1;
  for (const nodes of sizes) {
    let wake: () => void = () => undefined;
    const connected = Array.from({ length: nodes }, (_, index) =>
      connect(system, index, () => {
        wake();
      }),
    );
    await delay(new SystemClock(), CONNECT_MILLISECONDS);
    const latencies = new Latencies();
    for (let change = 0; change < changes; change += 1) {
      number += 1;
      const started = performance.now();
      const done = new Promise<void>((resolve) => {
        wake = () => {
          if (connected.every((node) => node.number === number)) resolve();
        };
      });
      await apply(system, number);
      await done;
      latencies.add(performance.now() - started);
    }
    for (const { parts } of connected) for (const part of parts) await part.stop?.();
    results.push({ nodes, milliseconds: { p50: latencies.at(50), highest: latencies.at(100) } });
  }
  await system.stop();
  return { changes, results };
}

function connect(system: MultiProcessSystem, index: number, onAdopted: () => void): Node {
  const clock = new SystemClock();
  const logger = createSilentLogger();
  const node = { number: 0 };
  const client = new ControlClient({
    members: system.layout.controlMembers,
    credential: system.layout.processCredential,
    clock,
  });
  const presence: ControlSession = new ControlSession({
    client,
    clock,
    logger,
    heartbeatMilliseconds: 1000,
    createHeartbeat: () => ({
      kind: 'sidecar',
      name: `node-${index}`,
      incarnation: 'bench',
      state: 'serving',
      configurationNumber: node.number,
      target: `target-${index}`,
      load: { running: 0, waiting: 0 },
    }),
    watchPosition: () => ({
      configurationNumber: node.number,
      target: `target-${index}`,
    }),
    onChanges: (changed) => {
      if (changed.configuration === undefined) return;
      node.number = changed.configuration.number;
      void presence.sendHeartbeat();
      onAdopted();
    },
  });
  presence.start();
  return Object.assign(node, { parts: [presence, client] });
}

/** Applies the system's own files under another number. */
async function apply(system: MultiProcessSystem, number: number): Promise<void> {
  const directory = system.layout.configurationDirectory;
  const files: SourceFile[] = [];
  for (const name of (await readdir(directory)).sort()) {
    const text = await readFile(join(directory, name), 'utf8');
    files.push({ name, text: text.replace('number = 1\n', `number = ${number}\n`) });
  }
  const client = new ControlClient({
    members: system.layout.controlMembers,
    credential: OPERATOR_CREDENTIAL,
    clock: new SystemClock(),
  });
  const input = { number, digest: digestFiles(files), files };
  await client.call((connection, signal) =>
    connection.configuration.accept.mutate(input, { signal }),
  );
  client.stop();
}
