import type { LatestValue, StoreView } from '../../cluster';
import { type TurnClient, TurnsUnavailableError } from '..';
import { type Message, SimulatedCluster, flushEventLoop } from './simulated-cluster';

export const MAX_TOKENS = 10;

const BUDGET_TOKENS = 6 * MAX_TOKENS;

const DEADLINE_MILLISECONDS = 200;

const STEP_MILLISECONDS = 5;

/** Time after which no turn starts and no disruption lasts. */
const END_MILLISECONDS = 600;

/** Time for stores to become complete once nothing disturbs them. */
const BACKFILL_MILLISECONDS = 10_000;

/** Time within which all stores know a settlement once all connections work: two repeats and losses. */
const REPAIR_MILLISECONDS = 5000;

const GATEWAYS = ['g0', 'g1', 'g2'];

export type DisruptionKind =
  | 'store paused'
  | 'store cut off'
  | 'store restarted'
  | 'store wiped'
  | 'gateway paused'
  | 'gateway cut off';

/** One turn that reserves tokens, is granted them or not, and ends. */
export interface ScheduledTurn {
  readonly program: string;
  readonly gateway: number;
  readonly startsAt: number;
  /** Time from the outcome of its reservation to its end. */
  readonly holdsMilliseconds: number;
  /** Whether a target may have run it: its reservation is then kept. */
  readonly mayHaveRun: boolean;
}

export interface ScheduledDisruption {
  readonly kind: DisruptionKind;
  readonly host: number;
  readonly at: number;
  readonly milliseconds: number;
}

export interface SettlementSchedule {
  readonly seed: number;
  readonly toleratedLosses: number;
  readonly turns: readonly ScheduledTurn[];
  readonly disruptions: readonly ScheduledDisruption[];
}

/** What the budget of one program has room for once all its turns have ended. */
export interface ProgramReport {
  readonly program: string;
  readonly keptTokens: number;
  /** Whether a turn that needs all that is not kept fits, and one that needs a token more. */
  readonly fits: { readonly rest: boolean; readonly more: boolean };
}

/**
 * Runs turns and their ends on a manual clock while gateways and stores are disturbed, no more stores
 * at once than the cluster tolerates, and then checks what is left of each budget.
 */
export class SettlementSimulation {
  readonly #schedule: SettlementSchedule;
  readonly #cluster: SimulatedCluster;
  readonly #clients = new Map<string, { turns: TurnClient; view: LatestValue<StoreView> }>();
  readonly #stores: readonly string[];
  readonly #keptTokens = new Map<string, number>();
  readonly #active = new Map<ScheduledDisruption, string>();
  readonly #pending: Promise<void>[] = [];

  constructor(schedule: SettlementSchedule) {
    this.#schedule = schedule;
    const { seed, toleratedLosses } = schedule;
    this.#cluster = new SimulatedCluster(seed, toleratedLosses);
    this.#stores = Array.from({ length: 2 * toleratedLosses + 1 }, (_, index) => `s${index}`);
  }

  async run(): Promise<readonly ProgramReport[]> {
    const { turns, disruptions } = this.#schedule;
    await this.#start();
    for (let time = 0; time < END_MILLISECONDS; time += STEP_MILLISECONDS) {
      const isDue = (at: number) => at >= time && at < time + STEP_MILLISECONDS;
      for (const disruption of this.#active.keys()) {
        if (isDue(disruption.at + disruption.milliseconds)) await this.#end(disruption);
      }
      for (const disruption of disruptions) if (isDue(disruption.at)) this.#begin(disruption);
      turns.forEach((turn, index) => {
        if (isDue(turn.startsAt)) this.#pending.push(this.#runTurn(turn, `t${index}`));
      });
      await this.#step();
    }
    for (const disruption of this.#active.keys()) await this.#end(disruption);
    await this.#pass(BACKFILL_MILLISECONDS, () => this.#cluster.isFullyReplicated);
    await this.#pass(REPAIR_MILLISECONDS);
    await Promise.all(this.#pending);
    const programs = [...new Set(turns.map(({ program }) => program))];
    const reports: ProgramReport[] = [];
    for (const program of programs) reports.push(await this.#report(program));
    return reports;
  }

  async #start(): Promise<void> {
    for (const store of this.#stores) await this.#cluster.addHost(store);
    for (const name of [...GATEWAYS, 'probe']) {
      this.#clients.set(name, this.#cluster.createClient(name));
    }
    while ([...this.#clients.values()].some(({ view }) => view.value === undefined)) this.#plan();
    await flushEventLoop();
  }

  async #runTurn(turn: ScheduledTurn, id: string): Promise<void> {
    const { program, gateway, holdsMilliseconds, mayHaveRun } = turn;
    const client = this.#client(GATEWAYS[gateway % GATEWAYS.length] ?? '');
    const fits = await this.#reserve(client, program, id, MAX_TOKENS);
    if (fits && mayHaveRun) {
      this.#keptTokens.set(program, (this.#keptTokens.get(program) ?? 0) + MAX_TOKENS);
      return;
    }
    await new Promise<void>((resolve) => {
      this.#cluster.clock.after(holdsMilliseconds, resolve);
    });
    client.settle(program, id, 0);
  }

  async #reserve(
    client: TurnClient,
    program: string,
    turn: string,
    maxTokens: number,
  ): Promise<boolean> {
    const deadline = this.#cluster.clock.monotonic() + DEADLINE_MILLISECONDS;
    const request = { program, turn, maxTokens, budget: BUDGET_TOKENS, deadline };
    try {
      return (await client.reserve(request)).fits;
    } catch (error) {
      if (error instanceof TurnsUnavailableError) return false;
      throw error;
    }
  }

  async #report(program: string): Promise<ProgramReport> {
    const keptTokens = this.#keptTokens.get(program) ?? 0;
    const rest = await this.#probe(program, BUDGET_TOKENS - keptTokens);
    const more = await this.#probe(program, BUDGET_TOKENS - keptTokens + 1);
    return { program, keptTokens, fits: { rest, more } };
  }

  async #probe(program: string, tokens: number): Promise<boolean> {
    const client = this.#client('probe');
    const turn = `probe ${program} ${tokens}`;
    let fits: boolean | undefined;
    void this.#reserve(client, program, turn, tokens).then((value) => (fits = value));
    const isDecided = () => fits !== undefined;
    await this.#pass(2 * DEADLINE_MILLISECONDS, isDecided);
    client.settle(program, turn, 0);
    await this.#pass(10 * STEP_MILLISECONDS);
    return fits === true;
  }

  #begin(disruption: ScheduledDisruption): void {
    const { kind, host } = disruption;
    const isStore = kind.startsWith('store');
    const hosts = isStore ? this.#stores : GATEWAYS;
    const name = hosts[host % hosts.length] ?? '';
    if ([...this.#active.values()].includes(name)) return;
    if (isStore && !this.#toleratesStoreDisruption()) return;
    this.#active.set(disruption, name);
    if (kind === 'store restarted') this.#cluster.stop(name, false);
    if (kind === 'store wiped') this.#cluster.stop(name, true);
    this.#applyPartitions();
  }

  /** A store that has not been filled yet counts as disturbed. */
  #toleratesStoreDisruption(): boolean {
    const disturbed = [...this.#active.keys()].filter(({ kind }) => kind.startsWith('store'));
    const count = disturbed.length + this.#cluster.incompleteCount;
    return count < this.#schedule.toleratedLosses;
  }

  async #end(disruption: ScheduledDisruption): Promise<void> {
    const name = this.#active.get(disruption);
    this.#active.delete(disruption);
    const isStopped = disruption.kind === 'store restarted' || disruption.kind === 'store wiped';
    if (isStopped && name !== undefined) await this.#cluster.start(name);
    this.#applyPartitions();
  }

  #applyPartitions(): void {
    this.#cluster.heal();
    for (const [{ kind }, name] of this.#active) {
      if (kind.endsWith('cut off')) this.#cluster.partition(name);
    }
  }

  #client(name: string): TurnClient {
    const client = this.#clients.get(name);
    if (client === undefined) throw new Error(`unknown gateway ${name}`);
    return client.turns;
  }

  #plan(): void {
    const disturbed = new Set(this.#active.values());
    const reachable = [...this.#clients].filter(([name]) => !disturbed.has(name));
    this.#cluster.plan(
      reachable.map(([, { view }]) => view),
      false,
    );
  }

  async #pass(milliseconds: number, isOver: () => boolean = () => false): Promise<void> {
    for (let time = 0; time < milliseconds && !isOver(); time += STEP_MILLISECONDS) {
      await this.#step();
    }
  }

  /** Delivers messages in random order, without those from and to paused hosts. */
  async #step(): Promise<void> {
    const paused = new Set(
      [...this.#active].filter(([{ kind }]) => kind.endsWith('paused')).map(([, name]) => name),
    );
    const isDue = ({ from, to }: Message) => !paused.has(from) && !paused.has(to);
    this.#plan();
    await flushEventLoop();
    while (this.#cluster.random.fraction() < 0.95 && this.#cluster.deliverRandom(isDue)) {
      await flushEventLoop();
    }
    this.#cluster.clock.advance(STEP_MILLISECONDS);
  }
}
