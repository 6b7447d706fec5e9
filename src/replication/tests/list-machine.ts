import type { StateMachine } from '..';

/** A state machine whose state is the list of applied commands with their indexes. */
export class ListMachine implements StateMachine<number> {
  readonly #onApply: (index: number, command: string) => void;
  #commands: readonly (readonly [number, string])[] = [];

  constructor(onApply: (index: number, command: string) => void = () => undefined) {
    this.#onApply = onApply;
  }

  get commands(): readonly string[] {
    return this.#commands.map(([, command]) => command);
  }

  apply(command: string, index: number): number {
    this.#commands = [...this.#commands, [index, command]];
    this.#onApply(index, command);
    return index;
  }

  snapshot(): Iterable<string> {
    return this.#commands.map((row) => JSON.stringify(row));
  }

  restore(rows: readonly string[]): void {
    this.#commands = rows.map((row) => JSON.parse(row) as [number, string]);
    for (const [index, command] of this.#commands) this.#onApply(index, command);
  }
}
