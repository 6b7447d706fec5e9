import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { request } from 'undici';
import { SystemClock, delay, formatAddress } from '../../src/core';
import { ControlClient, type GroupStatus, type Status } from '../../src/protocol';
import { groupOfProgram } from '../../src/state';
import { SystemProcess } from './system-process';
import {
  type Layout,
  type LayoutOptions,
  OPERATOR_CREDENTIAL,
  type ProcessPlan,
  createLayout,
} from './layout';

const DIST_DIRECTORY = resolve('dist');

/** Interval of polls for conditions that no log line reports. */
const POLL_INTERVAL_MILLISECONDS = 20;

/** A complete system of separate processes on loopback addresses. */
export class MultiProcessSystem {
  readonly layout: Layout;
  readonly #folder: string;
  readonly #children = new Map<string, SystemProcess>();
  readonly #clock = new SystemClock();

  private constructor(folder: string, layout: Layout) {
    this.#folder = folder;
    this.layout = layout;
  }

  /** Starts all processes, applies the configuration, and waits until all targets are serving. */
  static async start(options: Omit<LayoutOptions, 'folder'> = {}): Promise<MultiProcessSystem> {
    const folder = await mkdtemp(join(tmpdir(), 'martenbay-separate-'));
    const system = new MultiProcessSystem(folder, await createLayout({ folder, ...options }));
    const { standIns, controls, sidecars, entries } = system.layout;
    await system.#launchAll([...standIns, ...controls]);
    await system.apply();
    await system.#launchAll([...sidecars, ...entries]);
    await system.untilTargetsServing();
    return system;
  }

  get entryUrls(): readonly string[] {
    return this.layout.entryAddresses.map((address) => `http://${formatAddress(address)}`);
  }

  /** Base URLs of all processes except the stand-ins. */
  get ownUrls(): readonly string[] {
    const { controlMembers, entryAddresses, targets } = this.layout;
    const addresses = [
      ...controlMembers.map((member) => member.address),
      ...entryAddresses,
      ...targets.map((target) => target.sidecar),
    ];
    return addresses.map((address) => `http://${formatAddress(address)}`);
  }

  get children(): readonly SystemProcess[] {
    return [...this.#children.values()];
  }

  child(name: string): SystemProcess {
    const child = this.#children.get(name);
    if (child === undefined) throw new Error(`no process of the system is named ${name}`);
    return child;
  }

  /** Restarts a process that has exited. */
  async restart(name: string): Promise<void> {
    const { standIns, controls, sidecars, entries } = this.layout;
    const plan = [...standIns, ...controls, ...sidecars, ...entries].find(
      (entry) => entry.name === name,
    );
    if (plan === undefined) throw new Error(`no process of the system is named ${name}`);
    await this.#launch(plan);
  }

  /** Applies the configuration directory with the operator command. */
  async apply(): Promise<void> {
    const { configurationDirectory: configuration, operatorSettingsFile: operatorSettings } =
      this.layout;
    const child = this.command('apply', configuration, '--settings', operatorSettings);
    const code = await child.exited;
    if (code !== 0)
      throw new Error(`martenbay apply: expected exit code 0, got ${code}: ${child.errors}`);
  }

  /** Runs the operator command `martenbay`. */
  command(...commandArguments: readonly string[]): SystemProcess {
    return new SystemProcess('martenbay', join(DIST_DIRECTORY, 'martenbay.cjs'), commandArguments);
  }

  /** Status reported by the leader. */
  async status(): Promise<Status> {
    const client = new ControlClient({
      members: this.layout.controlMembers,
      credential: OPERATOR_CREDENTIAL,
      clock: this.#clock,
    });
    try {
      return await client.call((connection, signal) =>
        connection.status.query(undefined, { signal }),
      );
    } finally {
      client.stop();
    }
  }

  /** Rejects if the group has no leader. */
  async group(name: string): Promise<GroupStatus & { readonly leader: string }> {
    const { groups } = await this.status();
    const group = groups.find((entry) => entry.group === name);
    if (group?.leader === undefined) throw new Error(`no leader for group ${name}`);
    return { ...group, leader: group.leader };
  }

  /** The group that stores a program. */
  groupOf(program: string): Promise<GroupStatus & { readonly leader: string }> {
    return this.group(groupOfProgram(program) ?? '');
  }

  /** Resolves once every entry has a configuration and reports this number of serving targets. */
  async untilTargetsServing(targets = this.layout.targets.length): Promise<void> {
    await this.#untilMetrics(
      (metrics) => isConfigured(metrics) && metrics.includes(`targets_serving ${targets}\n`),
    );
  }

  /** Resolves once every entry has a configuration, and with it the targets known to the leader. */
  async untilConfigured(): Promise<void> {
    await this.#untilMetrics(isConfigured);
  }

  /** Polls until the condition is true. */
  async until(condition: () => Promise<boolean>): Promise<void> {
    while (!(await condition())) await delay(this.#clock, POLL_INTERVAL_MILLISECONDS);
  }

  async #untilMetrics(condition: (metrics: string) => boolean): Promise<void> {
    for (const url of this.entryUrls) {
      await this.until(async () => condition(await fetchText(`${url}/metrics`)));
    }
  }

  /** Sends SIGTERM to all processes; returns their exit codes or signals by name. */
  async stop(): Promise<Readonly<Record<string, number | string>>> {
    const { standIns, controls, sidecars, entries } = this.layout;
    const codes: Record<string, number | string> = {};
    for (const group of [entries, sidecars, controls, standIns]) {
      const children = group.map((plan) => this.child(plan.name));
      for (const child of children) {
        // A failed test may have left the process suspended.
        child.signal('SIGCONT');
        child.signal('SIGTERM');
      }
      for (const child of children) codes[child.name] = await child.exited;
    }
    await rm(this.#folder, { recursive: true, force: true });
    return codes;
  }

  async #launchAll(plans: readonly ProcessPlan[]): Promise<void> {
    await Promise.all(plans.map((plan) => this.#launch(plan)));
  }

  async #launch(plan: ProcessPlan): Promise<void> {
    const child = new SystemProcess(
      plan.name,
      join(DIST_DIRECTORY, `${plan.binary}.cjs`),
      plan.arguments,
    );
    this.#children.set(plan.name, child);
    await child.waitForLog((line) => line['event'] === 'started');
  }
}

function isConfigured(metrics: string): boolean {
  return !metrics.includes('configuration_number 0\n');
}

async function fetchText(url: string): Promise<string> {
  const response = await request(url);
  return response.body.text();
}
