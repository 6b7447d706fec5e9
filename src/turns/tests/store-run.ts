import { type TurnClient, TurnsUnavailable } from '..';
import { StoreCluster, settle } from './store-cluster';

/** Time of one step; milliseconds. */
const STEP_MILLISECONDS = 20;

/** Steps in which everything is healed and whole again. */
const HEALING_STEPS = 400;

/** Tokens that a turn may generate at most, and those that one which is not kept has generated. */
const MOST = 10;
const GENERATED = 4;

/** Share of the granted turns that are not kept and end well; the others' gateways die before. */
const SETTLED_SHARE = 0.5;

/** Reservations at once, as sub-agents make them. */
const BURST = 4;

/** The program whose turns are recorded. */
const PROGRAM = 'chains';

/** Steps in which one program is the one that reserves. */
const PROGRAM_STEPS = 15;

/** What a run has shown. */
export interface StoreReport {
  readonly recorded: number;
  readonly granted: number;
  readonly violations: readonly string[];
}

export interface StoreRunOptions {
  readonly seed: number;
  readonly tolerated: number;
  readonly stores: number;
  readonly steps: number;
  /** Tokens of each program's budget. */
  readonly budget: number;
}

/** Clients that reserve, record and read turns while hosts fail. */
export class StoreRun {
  readonly #options: StoreRunOptions;
  readonly #cluster: StoreCluster;
  readonly #clients;
  readonly #recorded: string[] = [];
  /** Tokens by program and granted turn: the most until it has ended, then what it generated. */
  readonly #granted = new Map<string, Map<string, number>>();
  readonly #violations: string[] = [];
  #turn = 0;

  constructor(options: StoreRunOptions) {
    this.#options = options;
    this.#cluster = new StoreCluster(options.seed, options.tolerated);
    this.#clients = ['g1', 'g2', 'g3'].map((name) => this.#cluster.createClient(name));
  }

  async run(): Promise<StoreReport> {
    const { stores, steps } = this.#options;
    for (let index = 0; index < stores; index += 1) await this.#cluster.addHost(`s${index}`);
    for (let step = 0; step < steps; step += 1) await this.#step();
    await this.#heal();
    await this.#readAll();
    return {
      recorded: this.#recorded.length,
      granted: [...this.#granted.values()].reduce((sum, turns) => sum + turns.size * MOST, 0),
      violations: this.#violations,
    };
  }

  async #step(): Promise<void> {
    const { random, clock } = this.#cluster;
    this.#plan();
    const chance = random.fraction();
    if (chance < 0.25) this.#reserveSome();
    else if (chance < 0.45) this.#record();
    else if (chance < 0.55) this.#read();
    else if (chance < 0.62) await this.#fail();
    else if (chance < 0.67) await this.#restart();
    const deliveries = Math.floor(random.fraction() * 40);
    for (let count = 0; count < deliveries; count += 1) {
      this.#cluster.deliverAny();
      await settle();
    }
    clock.advance(STEP_MILLISECONDS);
    await settle();
  }

  #plan(): void {
    const views = this.#clients.map(({ view }) => view);
    this.#cluster.plan(views, this.#cluster.random.fraction() < 0.1);
  }

  #reserveSome(): void {
    for (let count = 0; count < BURST; count += 1) this.#reserve();
  }

  /** Takes a host's power, or its disk where no more is lost than is tolerated. */
  async #fail(): Promise<void> {
    const { random, names } = this.#cluster;
    const name = names[Math.floor(random.fraction() * names.length)] ?? '';
    if (!this.#cluster.isAlive(name)) return;
    const mayWipe = this.#cluster.incomplete < this.#options.tolerated;
    if (random.fraction() < 0.3) this.#cluster.cut(name);
    else this.#cluster.stop(name, mayWipe && random.fraction() < 0.6);
    await settle();
  }

  async #restart(): Promise<void> {
    this.#cluster.heal();
    for (const name of this.#cluster.names) {
      if (!this.#cluster.isAlive(name)) await this.#cluster.start(name);
    }
  }

  async #heal(): Promise<void> {
    await this.#restart();
    for (let step = 0; step < HEALING_STEPS; step += 1) {
      this.#plan();
      while (this.#cluster.deliverAny()) await settle();
      this.#cluster.clock.advance(STEP_MILLISECONDS);
      await settle();
    }
    if (!this.#cluster.isWhole) this.#violations.push('not whole again after the failures');
  }

  #reserve(): void {
    const { clock } = this.#cluster;
    const program = `p${Math.floor(clock.monotonic() / STEP_MILLISECONDS / PROGRAM_STEPS)}`;
    this.#turn += 1;
    const { turns } = this.#anyClient();
    const { budget } = this.#options;
    const turn = `r${this.#turn}`;
    const deadline = clock.monotonic() + 1000;
    turns.reserve({ program, turn, most: MOST, budget, deadline }).then(({ fits }) => {
      if (fits) this.#grant(turns, program, turn);
      else turns.settle(program, turn, 0);
    }, this.#onlyUnavailable);
  }

  #grant(turns: Pick<TurnClient, 'settle'>, program: string, turn: string): void {
    const { budget } = this.#options;
    const granted = this.#granted.get(program) ?? new Map<string, number>();
    this.#granted.set(program, granted);
    granted.set(turn, MOST);
    const total = [...granted.values()].reduce((sum, tokens) => sum + tokens, 0);
    if (total > budget) this.#violations.push(`${program} was granted ${total} tokens`);
    if (this.#cluster.random.fraction() >= SETTLED_SHARE) return;
    granted.set(turn, GENERATED);
    turns.settle(program, turn, GENERATED);
  }

  #record(): void {
    const { clock } = this.#cluster;
    this.#turn += 1;
    const id = `t${this.#turn}`;
    const record = {
      id,
      program: PROGRAM,
      previous: this.#recorded.at(-1),
      input: Buffer.from(id),
      output: Buffer.from(`${id}\n`),
      tokens: 1,
      contextTokens: 1,
      endedAt: clock.now(),
      retentionSeconds: 10_000,
      target: 'e1',
    };
    this.#anyClient()
      .turns.record(record, clock.monotonic() + 1500)
      .then(() => {
        this.#recorded.push(id);
      }, this.#onlyUnavailable);
  }

  #read(): void {
    const { random, clock } = this.#cluster;
    const id = this.#recorded[Math.floor(random.fraction() * this.#recorded.length)];
    if (id === undefined) return;
    void this.#readOne(id, clock.monotonic() + 1000);
  }

  async #readAll(): Promise<void> {
    const deadline = this.#cluster.clock.monotonic() + 60_000;
    for (const id of this.#recorded) {
      const reading = this.#readOne(id, deadline);
      let done = false;
      void reading.finally(() => (done = true));
      for (let step = 0; step < HEALING_STEPS && !isDone(done); step += 1) {
        while (this.#cluster.deliverAny()) await settle();
        this.#cluster.clock.advance(STEP_MILLISECONDS);
        await settle();
      }
      if (!isDone(done)) this.#violations.push(`${id} can't be read when all is whole`);
    }
  }

  async #readOne(id: string, deadline: number): Promise<void> {
    try {
      // Every other reader belongs to another program, so it knows other stores as the holders.
      const asker = Number(id.slice(1)) % 2 === 0 ? PROGRAM : 'another';
      const chain = await this.#anyClient().turns.chain(id, asker, deadline);
      if (chain.kind === 'absent') this.#violations.push(`${id} was recorded and is absent`);
      else if (chain.records.at(-1)?.input.toString() !== id) {
        this.#violations.push(`${id} is read as something else`);
      }
    } catch (error) {
      this.#onlyUnavailable(error);
    }
  }

  #anyClient() {
    const { random } = this.#cluster;
    const client = this.#clients[Math.floor(random.fraction() * this.#clients.length)];
    if (client === undefined) throw new Error('no clients');
    return client;
  }

  readonly #onlyUnavailable = (error: unknown): void => {
    if (error instanceof TurnsUnavailable) return;
    this.#violations.push(`another error: ${String(error)}`);
  };
}

/** Keeps the compiler from taking a variable that a callback sets for constant. */
function isDone(value: boolean): boolean {
  return value;
}
