import type { StateMachine } from '../replication';
import { type Command, commandSchema } from './commands';
import type { BeginOutcome, CompleteOutcome, Created, Ended, Refused } from './outcomes';
import { createProgram, endProgram, forgetPrograms } from './programs';
import { abandonStep, beginStep, completeStep, resolveStep } from './steps';
import { restoreTables, snapshotTables } from './snapshot';
import { Tables } from './tables';

/** A command that has nothing to tell. */
export interface Done {
  readonly outcome: 'done';
}

const DONE: Done = { outcome: 'done' };

/** Result of each kind of command. */
export interface CommandResults {
  readonly 'create-program': Created | Refused;
  readonly 'begin-step': BeginOutcome;
  readonly 'complete-step': CompleteOutcome;
  readonly 'abandon-step': Done;
  readonly 'resolve-step': Done;
  readonly 'end-program': Ended | Refused;
  readonly 'forget-programs': Done;
  readonly 'confirm-orders': Done;
}

export type CommandResult = CommandResults[Command['kind']];

/** The state that the replicated log drives: equal logs give equal states. */
export class ProgramStateMachine implements StateMachine<CommandResult> {
  readonly #onApplied: (command: Command) => void;
  #tables = new Tables();

  /** `onApplied` runs after each command, at every member. */
  constructor(onApplied: (command: Command) => void = () => undefined) {
    this.#onApplied = onApplied;
  }

  get tables(): Tables {
    return this.#tables;
  }

  snapshot(): Iterable<string> {
    return snapshotTables(this.#tables);
  }

  restore(rows: readonly string[]): void {
    this.#tables = new Tables();
    restoreTables(this.#tables, rows);
  }

  apply(text: string, index: number): CommandResult {
    const command = commandSchema.parse(JSON.parse(text));
    const result = this.#execute(command, index);
    this.#onApplied(command);
    return result;
  }

  #execute(command: Command, index: number): CommandResult {
    const { tables } = this;
    const applied = { at: command.at, index };
    switch (command.kind) {
      case 'create-program':
        return createProgram(tables, command.input, command.kindInForce, command.at);
      case 'begin-step':
        return beginStep(tables, command);
      case 'complete-step':
        return completeStep(tables, command.input, applied);
      case 'abandon-step':
        abandonStep(tables, command.input, applied);
        return DONE;
      case 'resolve-step':
        resolveStep(tables, command.input, applied);
        return DONE;
      case 'end-program':
        return endProgram(tables, command.input, applied);
      case 'forget-programs':
        forgetPrograms(tables, command.programs);
        return DONE;
      case 'confirm-orders':
        for (const order of command.orders) tables.orders.delete(order);
        return DONE;
    }
  }
}
