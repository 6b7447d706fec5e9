import { type TurnRecord, TurnsUnavailableError } from '..';
import { FaultInjector } from './fault-injector';
import { type GatewayHost, HistoryCluster } from './history-cluster';
import type { HistorySchedule } from './history-schedule';
import { LossAllowance, type LossRules } from './loss-allowance';

const START_MILLISECONDS = 1500;

const RETENTION_SECONDS = 20;

const RETENTION_MILLISECONDS = RETENTION_SECONDS * 1000;

/** Time after its retention by which a chain that has ended must have been dropped everywhere. */
const DROP_MILLISECONDS = 85_000;

/** Conversations that go on at the same time, each a path through the tree of turns. */
const CONVERSATIONS = 8;

/** Fraction of the turns that begin a new program, which continues the turns of another one. */
const NEW_PROGRAM_FRACTION = 0.25;

/** Fraction of the turns that continue an earlier turn, so that chains fork. */
const FORK_FRACTION = 0.15;

/** Fraction of the conversations that pause for longer than their last turn is kept. */
const LONG_PAUSE_FRACTION = 0.05;

const LONG_PAUSE_MILLISECONDS = 3 * RETENTION_MILLISECONDS;

/** Fraction of the records whose ancestors the gateway hands over. */
const HANDOVER_FRACTION = 0.7;

const CALL_DEADLINE_MILLISECONDS = 1500;

const RETRY_MILLISECONDS = 200;

const READ_INTERVAL_MILLISECONDS = 500;

/** Time after the return of all hosts from which every retained turn must be readable. */
const RECOVERY_MILLISECONDS = 8000;

const FINAL_READ_DEADLINE_MILLISECONDS = 3000;

export interface ContinuedChainsReport {
  readonly acknowledged: number;
  readonly longestChain: number;
  readonly violations: readonly string[];
  readonly trace: readonly string[];
}

/**
 * Plays a schedule while conversations go on from program to program within their retention, so that
 * their first turns become much older than it.
 */
export class ContinuedChainsSimulation {
  readonly #schedule: HistorySchedule;
  readonly #cluster: HistoryCluster;
  readonly #faults: FaultInjector;
  readonly #violations: string[] = [];
  readonly #trace: string[] = [];
  /** By id, in the order of acknowledgement. */
  readonly #acknowledged = new Map<string, TurnRecord>();
  #turnCount = 0;
  #programCount = 0;
  #traffic = true;

  constructor(schedule: HistorySchedule, rules: LossRules) {
    this.#schedule = schedule;
    const { seed, toleratedLosses, spares } = schedule;
    this.#cluster = new HistoryCluster({
      seed,
      toleratedLosses,
      spares,
      onCommit: () => undefined,
      onFailure: (message) => {
        this.#violate(message);
      },
    });
    const allowance = new LossAllowance(this.#cluster.clock, toleratedLosses, rules);
    const note = (message: string) => {
      this.#note(message);
    };
    this.#faults = new FaultInjector({ cluster: this.#cluster, allowance, toleratedLosses, note });
  }

  async run(): Promise<ContinuedChainsReport> {
    const { clock } = this.#cluster;
    this.#cluster.startAll();
    await clock.runUntil(START_MILLISECONDS);
    for (let index = 0; index < CONVERSATIONS; index += 1) this.#beginConversation();
    this.#readRepeatedly();
    for (const event of this.#schedule.events) {
      await clock.runUntil(clock.monotonic() + event.gap);
      this.#faults.apply(event);
    }
    await clock.runUntil(Math.max(clock.monotonic(), this.#faults.effectsEnd));
    await clock.runUntil(clock.monotonic() + RECOVERY_MILLISECONDS);
    await this.#readAll();
    this.#traffic = false;
    await clock.runUntil(clock.monotonic() + RETENTION_MILLISECONDS + DROP_MILLISECONDS);
    this.#checkDropped();
    const chains = [...this.#acknowledged.values()].map((record) => this.#chainOf(record).length);
    return {
      acknowledged: this.#acknowledged.size,
      longestChain: Math.max(0, ...chains),
      violations: this.#violations,
      trace: this.#trace,
    };
  }

  #beginConversation(): void {
    this.#programCount += 1;
    this.#recordNext(undefined, `p${this.#programCount}`);
  }

  /** Records the next turn of a conversation, and plans the one after it. */
  #recordNext(previous: TurnRecord | undefined, program: string): void {
    if (!this.#traffic) return;
    if (previous !== undefined && !this.#isRetained(previous)) {
      this.#beginConversation();
      return;
    }
    const gateway = this.#randomGateway();
    const recorded =
      gateway === undefined
        ? Promise.resolve(undefined)
        : this.#record(gateway, previous, program).catch((error: unknown) => {
            this.#expectUnavailable(`a turn after ${previous?.id ?? 'none'}`, error);
            return undefined;
          });
    void recorded.then((record) => {
      if (record === undefined) {
        this.#cluster.clock.after(RETRY_MILLISECONDS, () => {
          this.#recordNext(previous, program);
        });
      } else this.#continue(record);
    });
  }

  async #record(
    gateway: GatewayHost,
    previous: TurnRecord | undefined,
    program: string,
  ): Promise<TurnRecord | undefined> {
    const { turns, process } = gateway;
    if (turns === undefined || process === undefined) return undefined;
    const deadline = () => this.#cluster.clock.monotonic() + CALL_DEADLINE_MILLISECONDS;
    const chain =
      previous === undefined
        ? ({ kind: 'found', records: [] } as const)
        : await turns.chain(previous.id, program, deadline());
    if (chain.kind === 'absent') {
      if (previous !== undefined && this.#isRetained(previous)) {
        this.#violate(`${previous.id} is retained but absent for ${gateway.name}`);
      }
      return undefined;
    }
    this.#turnCount += 1;
    const id = `t${this.#turnCount}`;
    const record: TurnRecord = {
      id,
      program,
      previous: previous?.id,
      input: Buffer.from(id),
      output: Buffer.from(`${id}\n`),
      tokens: 1,
      contextTokens: 1,
      endedAt: process.clock.now(),
      retentionSeconds: RETENTION_SECONDS,
      target: 'e1',
    };
    const handsOver = this.#cluster.random.fraction() < HANDOVER_FRACTION;
    await turns.record(record, deadline(), handsOver ? chain.records : undefined);
    this.#acknowledged.set(id, record);
    this.#note(`${id} of ${program} after ${previous?.id ?? 'none'} is acknowledged`);
    return record;
  }

  #continue(record: TurnRecord): void {
    const { random, clock } = this.#cluster;
    const longest =
      random.fraction() < LONG_PAUSE_FRACTION
        ? LONG_PAUSE_MILLISECONDS
        : 0.8 * RETENTION_MILLISECONDS;
    clock.after(random.fraction() * longest, () => {
      const earlier = this.#cluster.random.fraction() < FORK_FRACTION ? record.previous : undefined;
      const previous = this.#acknowledged.get(earlier ?? '') ?? record;
      const beginsProgram = this.#cluster.random.fraction() < NEW_PROGRAM_FRACTION;
      if (beginsProgram) this.#programCount += 1;
      this.#recordNext(previous, beginsProgram ? `p${this.#programCount}` : previous.program);
    });
  }

  /** Reads a retained turn now and then while failures happen. */
  #readRepeatedly(): void {
    const { clock, random } = this.#cluster;
    clock.after(READ_INTERVAL_MILLISECONDS, () => {
      if (!this.#traffic) return;
      const retained = this.#retained();
      const record = retained[Math.floor(random.fraction() * retained.length)];
      const gateway = this.#randomGateway();
      if (record !== undefined && gateway !== undefined) {
        void this.#read(gateway, record, CALL_DEADLINE_MILLISECONDS);
      }
      this.#readRepeatedly();
    });
  }

  /** All hosts are back: every turn within its retention must be readable with its whole chain. */
  async #readAll(): Promise<void> {
    const { clock, gateways } = this.#cluster;
    this.#note('all hosts are back');
    const retained = this.#retained();
    const unread = new Set(retained);
    retained.forEach((record, index) => {
      const gateway = gateways[index % gateways.length];
      if (gateway === undefined) return;
      void this.#read(gateway, record, FINAL_READ_DEADLINE_MILLISECONDS).then((isFound) => {
        if (isFound) unread.delete(record);
      });
    });
    await clock.runUntil(clock.monotonic() + 2 * FINAL_READ_DEADLINE_MILLISECONDS);
    for (const { id, program } of unread) {
      this.#violate(`${id} of ${program} can't be read although all hosts are back`);
    }
  }

  /** Resolves with whether the turn was found, with its whole chain. */
  async #read(gateway: GatewayHost, record: TurnRecord, milliseconds: number): Promise<boolean> {
    const { id, program } = record;
    const wasRetained = this.#isRetained(record);
    try {
      const deadline = this.#cluster.clock.monotonic() + milliseconds;
      const chain = await gateway.turns?.chain(id, program, deadline);
      if (chain?.kind === 'found') {
        const found = chain.records.map((turn) => turn.id).join();
        if (found === this.#chainOf(record).join()) return true;
        this.#violate(`${gateway.name} reads ${id} as ${found}`);
      } else if (chain?.kind === 'absent' && wasRetained) {
        this.#violate(`${id} is retained but absent for ${gateway.name}`);
      }
    } catch (error) {
      this.#expectUnavailable(`read ${id}`, error);
    }
    return false;
  }

  #checkDropped(): void {
    for (const { name, running } of this.#cluster.stores) {
      const count = running?.journal.table.turnCount;
      if (count !== 0) this.#violate(`${name} still holds ${count ?? 'no'} turns after their end`);
    }
  }

  /** Acknowledged turns within their retention. */
  #retained(): readonly TurnRecord[] {
    return [...this.#acknowledged.values()].filter((record) => this.#isRetained(record));
  }

  #isRetained({ endedAt }: TurnRecord): boolean {
    return endedAt + RETENTION_MILLISECONDS > this.#cluster.clock.now();
  }

  #chainOf(record: TurnRecord): readonly string[] {
    const chain: string[] = [];
    for (let turn: TurnRecord | undefined = record; turn !== undefined;) {
      chain.unshift(turn.id);
      turn = this.#acknowledged.get(turn.previous ?? '');
    }
    return chain;
  }

  #randomGateway(): GatewayHost | undefined {
    const { gateways, random } = this.#cluster;
    const running = gateways.filter(({ process }) => process?.isRunning === true);
    return running[Math.floor(random.fraction() * running.length)];
  }

  #expectUnavailable(action: string, error: unknown): void {
    if (error instanceof TurnsUnavailableError) return;
    this.#violate(`${action}: unexpected error: ${String(error)}`);
  }

  #violate(message: string): void {
    this.#violations.push(message);
    this.#note(`VIOLATION: ${message}`);
  }

  #note(message: string): void {
    this.#trace.push(`${this.#cluster.clock.monotonic().toFixed(1)}: ${message}`);
  }
}
