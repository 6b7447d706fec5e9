// Starts the two programs of the deploy file as separate processes on loopback addresses.
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { send } from './http-client.mjs';

export const repository = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, Math.max(0, milliseconds)));

/** The words of a role's `run` line in the deploy file. */
function commandOf(role) {
  const text = readFileSync(join(repository, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const [, run] = /^run = "([^"]*)"$/m.exec(section) ?? [];
  if (run === undefined) throw new Error(`the deploy file has no command for ${role}`);
  return run.split(' ');
}

function tryListen(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen({ host, port }, () => {
      const { port: bound } = server.address();
      server.close(() => resolve(bound));
    });
  });
}

/** A port that is free on all hosts, since ports are alike on all machines. */
export async function findFreePort(hosts) {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const port = await tryListen(hosts[0], 0);
    const results = await Promise.all(hosts.map((host) => tryListen(host, port)));
    if (results.every((result) => result === port)) return port;
  }
  throw new Error('found no port that is free on all hosts');
}

/** One process of the system on a machine of its own, which is a loopback address. */
class Machine {
  constructor(options) {
    Object.assign(this, options);
    this.child = undefined;
    this.wanted = false;
    this.ownEnds = 0;
  }

  start(firstStart) {
    writeFileSync(this.settingsFile, this.settings(firstStart));
    const [program, ...parameters] = this.command;
    const log = openSync(this.logFile, 'a');
    const { PATH, HOME, LANG } = process.env;
    this.wanted = true;
    const child = spawn(program === 'node' ? process.execPath : program, parameters, {
      cwd: repository,
      env: { PATH, HOME, LANG, MARTENBAY_NODE_FILE: this.settingsFile },
      stdio: ['ignore', log, log],
    });
    this.child = child;
    this.ended = new Promise((resolve) => child.once('exit', resolve));
    // A process that ends by itself is started again after a short delay, as the platform does.
    child.once('exit', (code, signal) => {
      if (!this.wanted || this.child !== child) return;
      this.ownEnds += 1;
      this.record({ event: 'process-ended-by-itself', machine: this.name, code, signal });
      setTimeout(() => {
        if (this.wanted && this.child === child) this.start(false);
      }, 500);
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  async kill() {
    this.wanted = false;
    this.child.kill('SIGKILL');
    await this.ended;
  }

  /** Removes the content of its disk; the process must not run. */
  loseDisk() {
    rmSync(this.dataFolder, { recursive: true, force: true });
    mkdirSync(this.dataFolder, { recursive: true });
  }
}

/**
 * Gateways with a disk, which are the core, and stores. `base` is the first three numbers of the
 * machines' addresses, so that cases don't meet each other.
 */
export class System {
  static async create({
    base,
    gateways = 3,
    stores = 3,
    toleratedLosses = 1,
    stopSeconds = 8,
    listAddress,
    record,
  }) {
    const system = new System();
    system.folder = mkdtempSync(join(tmpdir(), 'martenbay-review-'));
    system.record = record;
    const hosts = (first, count) =>
      Array.from({ length: count }, (_, index) => `${base}.${first + index}`);
    const gatewayHosts = hosts(11, gateways);
    const storeHosts = hosts(21, stores);
    const all = [...gatewayHosts, ...storeHosts];
    const ports = {};
    for (const name of ['rpc', 'front', 'ready', 'control', 'metrics']) {
      ports[name] = await findFreePort(all);
    }
    const seeds = gatewayHosts.slice(0, 3).map((host) => `${host}:${ports.control}`);
    const machine = (role, host, index) => {
      const name = `${role === 'gateway' ? 'edge' : 'storage'}-zone-${index + 1}-1`;
      const dataFolder = join(system.folder, name, 'data');
      mkdirSync(dataFolder, { recursive: true });
      const listen =
        role === 'gateway'
          ? [
              `callers = "${host}:${ports.front}"`,
              `readiness = "${host}:${ports.ready}"`,
              `operators = "${host}:${ports.control}"`,
            ]
          : [];
      return new Machine({
        name,
        host,
        ports,
        record,
        dataFolder,
        command: commandOf(role),
        settingsFile: join(system.folder, name, 'settings.toml'),
        logFile: join(system.folder, name, 'log'),
        settings: (firstStart) =>
          [
            '[node]',
            `name = "${name}"`,
            `availability-zone = "zone-${index + 1}"`,
            `address = "${host}:${ports.rpc}"`,
            `first-start = ${firstStart}`,
            `seeds = ${JSON.stringify(seeds)}`,
            `tolerated-losses = ${toleratedLosses}`,
            `stop-seconds = ${stopSeconds}`,
            'processor-share = 0.608',
            `data-folder = "${dataFolder}"`,
            '',
            '[listen]',
            ...listen,
            `metrics = "${host}:${ports.metrics}"`,
            '',
            '[target-list]',
            `address = "${listAddress}"`,
            'calls-per-second = 44',
            '',
            '[teams]',
            '',
          ].join('\n'),
      });
    };
    system.gateways = gatewayHosts.map((host, index) => machine('gateway', host, index));
    system.stores = storeHosts.map((host, index) => machine('store', host, index));
    return system;
  }

  get machines() {
    return [...this.gateways, ...this.stores];
  }

  start() {
    for (const machine of this.machines) machine.start(true);
  }

  /** Sends a configuration to any gateway until one acknowledges it. */
  async configure(configuration, milliseconds = 20_000) {
    const body = JSON.stringify(configuration);
    const until = Date.now() + milliseconds;
    for (let turn = 0; Date.now() < until; turn += 1) {
      const { host, ports } = this.gateways[turn % this.gateways.length];
      const answer = await send({
        host,
        port: ports.control,
        method: 'POST',
        path: '/v1/Config.Replace',
        headers: { 'content-type': 'application/json' },
        body,
        timeout: 1000,
      });
      if (answer.status === 200) {
        this.record({ event: 'config-acknowledged', version: configuration.version, at: host });
        return;
      }
      await sleep(100);
    }
    throw new Error('no configuration was acknowledged');
  }

  async untilReady(milliseconds = 20_000) {
    const until = Date.now() + milliseconds;
    const isReady = async ({ host, ports }) =>
      (await send({ host, port: ports.ready, path: '/v1/readiness', timeout: 1000 })).status ===
      200;
    while (Date.now() < until) {
      const ready = await Promise.all(this.gateways.map(isReady));
      if (ready.every(Boolean)) return;
      await sleep(100);
    }
    throw new Error('the gateways did not get ready');
  }

  /** Ends all processes that this system started and removes their files. */
  async stop() {
    for (const machine of this.machines) {
      machine.wanted = false;
      if (machine.child === undefined) continue;
      machine.child.kill('SIGKILL');
      await machine.ended;
    }
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stderr.write(`logs: ${this.folder}\n`);
  }
}
