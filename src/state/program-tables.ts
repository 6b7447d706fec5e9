import type { ContentWriter } from './step-contents';
import type { Order, Program, Spending } from './records';

/**
 * State of one program group. Records are immutable and replaced as a whole; only the state machine
 * writes to the maps, while it applies a command or restores a snapshot.
 */
export class ProgramTables {
  readonly contents: ContentWriter;
  readonly programs = new Map<string, Program>();
  /** By id of the root program. */
  readonly spending = new Map<string, Spending>();
  /** Ids of live child programs, by id of the parent. */
  readonly children = new Map<string, ReadonlySet<string>>();
  readonly orders = new Map<string, Order>();

  constructor(contents: ContentWriter) {
    this.contents = contents;
  }

  putProgram(program: Program): void {
    this.programs.set(program.id, program);
  }

  /** Spending of a program's root, which exists as long as the program. */
  spendingOf(program: Program): Spending {
    const spending = this.spending.get(program.root);
    if (spending === undefined)
      throw new Error(`No spending record for root program "${program.root}"`);
    return spending;
  }
}
