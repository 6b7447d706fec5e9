import type { Contents } from './contents';
import type { Order, Program, Spending } from './records';

/**
 * The programs of one group. The records are immutable and replaced whole; only the state machine
 * writes to the maps, and only while it applies a command.
 */
export class Tables {
  readonly contents: Contents;
  readonly programs = new Map<string, Program>();
  /** By root program. */
  readonly spending = new Map<string, Spending>();
  /** Sub-agents that are live, by parent. */
  readonly children = new Map<string, ReadonlySet<string>>();
  readonly orders = new Map<string, Order>();

  constructor(contents: Contents) {
    this.contents = contents;
  }

  /** Replaces one program. */
  put(program: Program): void {
    this.programs.set(program.id, program);
  }

  /** Spending of a program's root; it exists as long as the program. */
  spendingOf(program: Program): Spending {
    const spending = this.spending.get(program.root);
    if (spending === undefined) throw new Error(`No spending for program ${program.root}`);
    return spending;
  }
}
