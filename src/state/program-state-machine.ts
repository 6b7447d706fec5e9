import type { StateMachine } from '../replication';
import { type Command, commandSchema } from './commands';
import type { BeginDecision, CompleteDecision, Created, Ended, Refused } from './outcomes';
import { createProgram, endProgram, purgePrograms } from './programs';
import { abandonStep, beginStep, completeStep, resolveStep } from './steps';
import {
  type SnapshotContentStore,
  restoreTables,
  snapshotTables,
  transferTables,
} from './snapshot';
import { ProgramTables } from './program-tables';

/** Result of a command that returns no value. */
export interface Done {
  readonly outcome: 'done';
}

const DONE: Done = { outcome: 'done' };

/** Result types by command kind. */
export interface CommandResults {
  readonly 'create-program': Created | Refused;
  readonly 'begin-step': BeginDecision;
  readonly 'complete-step': CompleteDecision;
  readonly 'abandon-step': Done;
  readonly 'resolve-step': Done;
  readonly 'end-program': Ended | Refused;
  readonly 'forget-programs': Done;
  readonly 'confirm-orders': Done;
}

export type CommandResult = CommandResults[Command['kind']];

/** Deterministic state machine of a program group: equal logs give equal states. */
export class ProgramStateMachine implements StateMachine<CommandResult> {
  readonly #contents: SnapshotContentStore;
  readonly #onApplied: (command: Command) => void;
  #tables: ProgramTables;

  /** `onApplied` runs on every member after each command. */
  constructor(
    contents: SnapshotContentStore,
    onApplied: (command: Command) => void = () => undefined,
  ) {
    this.#contents = contents;
    this.#onApplied = onApplied;
    this.#tables = new ProgramTables(contents);
  }

  get tables(): ProgramTables {
    return this.#tables;
  }

  snapshot(): Iterable<string> {
    return snapshotTables(this.#tables, this.#contents);
  }

  snapshotForTransfer(): AsyncIterable<string> {
    return transferTables(this.#tables, this.#contents);
  }

  async flush(): Promise<() => Promise<void>> {
    const unused = this.#contents.unusedFiles();
    await this.#contents.flush();
    return () => this.#contents.removeFiles(unused);
  }

  restore(rows: readonly string[]): void {
    this.#contents.reset();
    this.#tables = new ProgramTables(this.#contents);
    restoreTables(this.#tables, this.#contents, rows);
  }

  apply(text: string, index: number): CommandResult {
    const command = commandSchema.parse(JSON.parse(text));
    const result = this.#execute(command, index);
    this.#onApplied(command);
    return result;
  }

  #execute(command: Command, index: number): CommandResult {
    const { tables } = this;
    const context = { at: command.at, index };
    switch (command.kind) {
      case 'create-program':
        return createProgram(tables, command.input, command.kindInForce, command.at);
      case 'begin-step':
        return beginStep(tables, command);
      case 'complete-step':
        return completeStep(tables, command.input, context);
      case 'abandon-step':
        abandonStep(tables, command.input, context);
        return DONE;
      case 'resolve-step':
        resolveStep(tables, command.input, context);
        return DONE;
      case 'end-program':
        return endProgram(tables, command.input, context);
      case 'forget-programs':
        purgePrograms(tables, command.programs);
        return DONE;
      case 'confirm-orders':
        for (const order of command.orders) tables.orders.delete(order);
        return DONE;
    }
  }
}
