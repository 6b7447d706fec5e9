// Starts the project's gateways and stores as separate processes with the commands of the deploy
// file, on loopback addresses, in a temporary folder.
import { spawn } from 'node:child_process';
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

export const ROOT = resolve(import.meta.dirname, '../..');

export const sleep = (milliseconds) => new Promise((done) => setTimeout(done, milliseconds));

function canListen(host, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(undefined));
    server.listen({ host, port }, () => {
      const { port: free } = server.address();
      server.close(() => done(free));
    });
  });
}

/** A port that is free on all the given hosts. */
export async function freePort(hosts) {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const port = await canListen(hosts[0], 0);
    const free = await Promise.all(hosts.slice(1).map((host) => canListen(host, port)));
    if (port !== undefined && free.every((found) => found === port)) return port;
  }
  throw new Error('no free port');
}

/** The words of `run` of a role in the deploy file. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(/^\[roles\./m).find((part) => part.startsWith(`${role}]`)) ?? '';
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (run === undefined) throw new Error(`no role ${role} in deploy/system.toml`);
  return run.split(' ');
}

/** One process of the system. */
export class Node {
  #child;

  constructor(system, role, name, settingsFile) {
    this.system = system;
    this.role = role;
    this.name = name;
    this.settingsFile = settingsFile;
  }

  get pid() {
    return this.#child?.pid;
  }

  start() {
    const [program, ...words] = commandOf(this.role);
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, MARTENBAY_NODE_FILE: this.settingsFile };
    if (LANG !== undefined) env.LANG = LANG;
    const child = spawn(program, words, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    this.#child = child;
    const log = createWriteStream(join(this.system.folder, `${this.name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => {
      this.system.note('process-ended', { name: this.name, pid: child.pid, code, signal });
    });
    this.system.note('process-started', { name: this.name, pid: child.pid });
  }

  signal(name) {
    this.system.note('signal', { name: this.name, signal: name });
    this.#child?.kill(name);
  }

  async kill() {
    const child = this.#child;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((done) => child.once('exit', done));
    child.kill('SIGCONT');
    child.kill('SIGKILL');
    await ended;
  }
}

/** Gateways with a disk and stores, one of each in each of three zones. */
export class System {
  gateways = [];
  stores = [];
  #listeners = [];

  constructor(note) {
    this.note = note;
    this.folder = mkdtempSync(join(tmpdir(), 'martenbay-review-'));
  }

  async create({ listAddress, toleratedLosses = 1, count = 3 }) {
    const gatewayHosts = Array.from({ length: count }, (_, index) => `127.0.1.${index + 1}`);
    const storeHosts = Array.from({ length: count }, (_, index) => `127.0.2.${index + 1}`);
    const hosts = [...gatewayHosts, ...storeHosts];
    const rpc = await freePort(hosts);
    const callers = await freePort(hosts);
    const ready = await freePort(hosts);
    const control = await freePort(hosts);
    const seeds = gatewayHosts.slice(0, 3).map((host) => `${host}:${control}`);
    const settings = (kind, host, index) => [
      '[node]',
      `name = "${kind}-${index + 1}"`,
      `availability-zone = "zone-${index + 1}"`,
      `address = "${host}:${rpc}"`,
      'first-start = true',
      `seeds = ${JSON.stringify(seeds)}`,
      `tolerated-losses = ${toleratedLosses}`,
      'stop-seconds = 8',
      `data-folder = "${join(this.folder, `${kind}-${index + 1}`)}"`,
      '',
      '[listen]',
      ...(kind === 'gateway'
        ? [
            `callers = "${host}:${callers}"`,
            `readiness = "${host}:${ready}"`,
            `operators = "${host}:${control}"`,
          ]
        : []),
      '',
      '[target-list]',
      `address = "${listAddress}"`,
      'calls-per-second = 44',
      '',
    ];
    const add = (kind, host, index) => {
      const name = `${kind}-${index + 1}`;
      const file = join(this.folder, `${name}.toml`);
      mkdirSync(join(this.folder, name));
      writeFileSync(file, settings(kind, host, index).join('\n'));
      const node = new Node(this, kind, name, file);
      Object.assign(node, { host, callers, ready, control, rpc });
      this[kind === 'gateway' ? 'gateways' : 'stores'].push(node);
    };
    gatewayHosts.forEach((host, index) => add('gateway', host, index));
    storeHosts.forEach((host, index) => add('store', host, index));
  }

  get nodes() {
    return [...this.gateways, ...this.stores];
  }

  /** `first-start` is true only on the very first start of the whole system. */
  endFirstStart() {
    for (const { settingsFile } of this.nodes) {
      const text = readFileSync(settingsFile, 'utf8');
      writeFileSync(settingsFile, text.replace('first-start = true', 'first-start = false'));
    }
  }

  start() {
    for (const node of this.nodes) node.start();
  }

  async stop() {
    await Promise.all(this.nodes.map((node) => node.kill()));
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
  }
}
