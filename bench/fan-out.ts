import { readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { OPERATOR_CREDENTIAL } from '../scripts/separate/layout';
import { MultiProcessSystem } from '../scripts/separate/system';
import { type SourceFile, digestFiles } from '../src/configuration';
import { type Component, SystemClock, createSilentLogger, delay } from '../src/core';
import { ControlClient, ControlSession } from '../src/protocol';
import { LatencyHistogram } from './measurement';

const CONNECT_MILLISECONDS = 3000;

/**
 * A simulated process. All of them share this process, so they only record the number of the
 * configuration that they receive and do not parse its files.
 */
interface ConnectedNode {
  configurationNumber: number;
  readonly components: readonly Component[];
}

/** Time from an operator's apply until every connected process has received the configuration. */
export async function benchFanOut(sizes: readonly number[], changes: number): Promise<object> {
  const system = await MultiProcessSystem.start({ entries: 1, engines: 1, programGroups: 1 });
  const results: object[] = [];
  let number = 1;
  for (const nodes of sizes) {
    let notifyAdopted: () => void = () => undefined;
    const connected = Array.from({ length: nodes }, (_, index) =>
      connect(system, index, () => {
        notifyAdopted();
      }),
    );
    await delay(new SystemClock(), CONNECT_MILLISECONDS);
    const latencies = new LatencyHistogram();
    for (let change = 0; change < changes; change += 1) {
      number += 1;
      const startedAt = performance.now();
      const adopted = new Promise<void>((resolve) => {
        notifyAdopted = () => {
          if (connected.every((node) => node.configurationNumber === number)) resolve();
        };
      });
      await apply(system, number);
      await adopted;
      latencies.record(performance.now() - startedAt);
    }
    for (const { components } of connected)
      for (const component of components) await component.stop?.();
    results.push({
      nodes,
      milliseconds: { p50: latencies.percentile(50), highest: latencies.percentile(100) },
    });
  }
  await system.stop();
  return { changes, results };
}

function connect(system: MultiProcessSystem, index: number, onAdopted: () => void): ConnectedNode {
  const clock = new SystemClock();
  const logger = createSilentLogger();
  const node = { configurationNumber: 0 };
  const client = new ControlClient({
    members: system.layout.controlMembers,
    credential: system.layout.processCredential,
    clock,
  });
  const controlSession: ControlSession = new ControlSession({
    client,
    clock,
    logger,
    heartbeatMilliseconds: 1000,
    createHeartbeat: () => ({
      kind: 'sidecar',
      name: `node-${index}`,
      incarnation: 'bench',
      state: 'serving',
      configurationNumber: node.configurationNumber,
      target: `target-${index}`,
      load: { running: 0, waiting: 0 },
    }),
    watchPosition: () => ({
      configurationNumber: node.configurationNumber,
      target: `target-${index}`,
    }),
    onChanges: (changed) => {
      if (changed.configuration === undefined) return;
      node.configurationNumber = changed.configuration.number;
      void controlSession.sendHeartbeat();
      onAdopted();
    },
  });
  controlSession.start();
  return Object.assign(node, { components: [controlSession, client] });
}

/** Applies the current configuration files with another number. */
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
