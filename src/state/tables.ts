import type { Configuration, SourceFile } from '../configuration';
import type { Order, Program, Spending } from './records';

/** An accepted configuration with the files it came from. */
export interface AcceptedConfiguration {
  readonly configuration: Configuration;
  readonly files: readonly SourceFile[];
}

/**
 * All replicated state. The records are immutable and replaced whole; only the state machine
 * writes to the maps, and only while it applies a command.
 */
export class Tables {
  readonly programs = new Map<string, Program>();
  /** By root program. */
  readonly spending = new Map<string, Spending>();
  /** Sub-agents that are live, by parent. */
  readonly children = new Map<string, ReadonlySet<string>>();
  readonly orders = new Map<string, Order>();
  /** Digest of every number ever accepted, so that a resend gets its first answer for ever. */
  readonly acceptedDigests = new Map<number, string>();
  accepted: AcceptedConfiguration | undefined;

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
