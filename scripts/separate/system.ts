import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { request } from 'undici';
import { SystemClock, delay, formatAddress } from '../../src/core';
import { ControlClient, type GroupStatus, type Status } from '../../src/protocol';
import { groupOfProgram } from '../../src/state';
import { Child } from './child';
import {
  type Layout,
  type LayoutOptions,
  OPERATOR_CREDENTIAL,
  type ProcessPlan,
  layOut,
} from './layout';

const DIST = resolve('dist');

/** Pause between two looks at a process that has no event to wait for; milliseconds. */
const LOOK_MILLISECONDS = 20;

/** A whole system as separate processes on loopback addresses. */
export class SeparateSystem {
  readonly layout: Layout;
  readonly #folder: string;
  readonly #children = new Map<string, Child>();
  readonly #clock = new SystemClock();

  private constructor(folder: string, layout: Layout) {
    this.#folder = folder;
    this.layout = layout;
  }

  /** Starts everything, applies the configuration, and waits until all of it is in force. */
  static async start(options: Omit<LayoutOptions, 'folder'> = {}): Promise<SeparateSystem> {
    const folder = await mkdtemp(join(tmpdir(), 'martenbay-separate-'));
    const system = new SeparateSystem(folder, await layOut({ folder, ...options }));
    const { standIns, controls, sidecars, entries } = system.layout;
    await system.#launchAll([...standIns, ...controls]);
    await system.apply();
    await system.#launchAll([...sidecars, ...entries]);
    await system.settled();
    return system;
  }

  get entryUrls(): readonly string[] {
    return this.layout.entryAddresses.map((address) => `http://${formatAddress(address)}`);
  }

  /** Base URLs of every process of martenbay's own. */
  get ownAddresses(): readonly string[] {
    const { controlMembers, entryAddresses, targets } = this.layout;
    const addresses = [
      ...controlMembers.map((member) => member.address),
      ...entryAddresses,
      ...targets.map((target) => target.sidecar),
    ];
    return addresses.map((address) => `http://${formatAddress(address)}`);
  }

  get children(): readonly Child[] {
    return [...this.#children.values()];
  }

  child(name: string): Child {
    const child = this.#children.get(name);
    if (child === undefined) throw new Error(`No process ${name}`);
    return child;
  }

  /** Starts a process again that has ended. */
  async restart(name: string): Promise<void> {
    const { standIns, controls, sidecars, entries } = this.layout;
    const plan = [...standIns, ...controls, ...sidecars, ...entries].find(
      (entry) => entry.name === name,
    );
    if (plan === undefined) throw new Error(`No process ${name}`);
    await this.#launch(plan);
  }

  /** Applies the operators' directory with the operators' command line. */
  async apply(): Promise<void> {
    const { configuration, operatorSettings } = this.layout;
    const child = this.command('apply', configuration, '--settings', operatorSettings);
    const code = await child.exited;
    if (code !== 0) throw new Error(`apply ended with ${code}: ${child.errors}`);
  }

  /** Runs the operators' command line. */
  command(...words: readonly string[]): Child {
    return new Child('martenbay', join(DIST, 'martenbay.cjs'), words);
  }

  /** Status as the leader tells it. */
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

  /** A group with its leader. */
  async group(name: string): Promise<GroupStatus & { readonly leader: string }> {
    const { groups } = await this.status();
    const group = groups.find((entry) => entry.group === name);
    if (group?.leader === undefined) throw new Error(`No leader of ${name}`);
    return { ...group, leader: group.leader };
  }

  /** The group that holds a program. */
  groupOf(program: string): Promise<GroupStatus & { readonly leader: string }> {
    return this.group(groupOfProgram(program) ?? '');
  }

  /** Resolves once every entry has the configuration and knows every target as serving. */
  async settled(targets = this.layout.targets.length): Promise<void> {
    for (const url of this.entryUrls) {
      await this.until(async () => {
        const metrics = await readPage(`${url}/metrics`);
        return (
          metrics.includes(`targets_serving ${targets}\n`) &&
          !metrics.includes('configuration_number 0\n')
        );
      });
    }
  }

  /** Looks again and again until something holds. */
  async until(holds: () => Promise<boolean>): Promise<void> {
    while (!(await holds())) await delay(this.#clock, LOOK_MILLISECONDS);
  }

  /** Stops every process as an operator would; returns their exit codes by name. */
  async stop(): Promise<Readonly<Record<string, number | string>>> {
    const { standIns, controls, sidecars, entries } = this.layout;
    const codes: Record<string, number | string> = {};
    for (const group of [entries, sidecars, controls, standIns]) {
      const children = group.map((plan) => this.child(plan.name));
      for (const child of children) {
        // A test that failed may have left it frozen.
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
    const child = new Child(plan.name, join(DIST, `${plan.binary}.cjs`), plan.arguments);
    this.#children.set(plan.name, child);
    await child.logged((line) => line['event'] === 'started');
  }
}

async function readPage(url: string): Promise<string> {
  const answer = await request(url);
  return answer.body.text();
}
