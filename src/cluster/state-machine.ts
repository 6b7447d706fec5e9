import * as z from 'zod';
import type { StateMachine } from '../replication';
import type { VersionedConfiguration } from './contract';
import { type PackedText, packedTextSchema } from './packed-text';
import { type RetirementState, type StoreView, storeViewSchema } from './view';

const retirementStateSchema = z.enum(['running', 'completed']);

const commandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('configure'), version: z.number(), text: packedTextSchema }),
  z.object({ kind: z.literal('view'), view: storeViewSchema }),
  z.object({ kind: z.literal('retire'), store: z.string(), state: retirementStateSchema }),
]);

/** Command that changes the cluster state. */
export type ClusterCommand = Readonly<z.output<typeof commandSchema>>;

/** Whether replicas of this version can apply the command. */
export function isApplicable(command: unknown): boolean {
  return commandSchema.safeParse(command).success;
}

/** 'unchanged' if the state was already at that version or newer. */
export type CommandOutcome = 'changed' | 'unchanged';

const rowSchema = z.discriminatedUnion('table', [
  z.object({ table: z.literal('configuration'), version: z.number(), text: packedTextSchema }),
  z.object({ table: z.literal('view'), view: storeViewSchema }),
  z.object({ table: z.literal('retirement'), store: z.string(), state: retirementStateSchema }),
]);

export interface ClusterStateMachineOptions {
  readonly onConfiguration: (configuration: VersionedConfiguration) => void;
  readonly onView: (view: StoreView) => void;
}

/**
 * State machine of the cluster state: the newest configuration, the view and the retirements. A
 * configuration is replaced only by a higher version.
 */
export class ClusterStateMachine implements StateMachine<CommandOutcome> {
  readonly #options: ClusterStateMachineOptions;
  #configuration: VersionedConfiguration | undefined;
  #view: StoreView | undefined;
  #retirements = new Map<string, RetirementState>();

  constructor(options: ClusterStateMachineOptions) {
    this.#options = options;
  }

  get configuration(): VersionedConfiguration | undefined {
    return this.#configuration;
  }

  get view(): StoreView | undefined {
    return this.#view;
  }

  get retirements(): ReadonlyMap<string, RetirementState> {
    return this.#retirements;
  }

  apply(text: string): CommandOutcome {
    const command = commandSchema.parse(JSON.parse(text));
    const changed = this.#change(command);
    return changed ? 'changed' : 'unchanged';
  }

  *snapshot(): Generator<string> {
    if (this.#configuration !== undefined) {
      yield JSON.stringify({ table: 'configuration', ...this.#configuration });
    }
    if (this.#view !== undefined) yield JSON.stringify({ table: 'view', view: this.#view });
    for (const [store, state] of [...this.#retirements]) {
      yield JSON.stringify({ table: 'retirement', store, state });
    }
  }

  restore(rows: readonly string[]): void {
    this.#retirements = new Map();
    for (const text of rows) {
      const row = rowSchema.parse(JSON.parse(text));
      if (row.table === 'configuration') this.#configure(row.version, row.text);
      else if (row.table === 'view') this.#setView(row.view);
      else this.#retirements.set(row.store, row.state);
    }
  }

  #change(command: ClusterCommand): boolean {
    switch (command.kind) {
      case 'configure':
        return this.#configure(command.version, command.text);
      case 'view':
        if (command.view.epoch !== (this.#view?.epoch ?? 0) + 1) return false;
        return this.#setView(command.view);
      case 'retire':
        return this.#retire(command.store, command.state);
    }
  }

  #configure(version: number, text: PackedText): boolean {
    if (this.#configuration !== undefined && version <= this.#configuration.version) return false;
    this.#configuration = { version, text };
    this.#options.onConfiguration(this.#configuration);
    return true;
  }

  #setView(view: StoreView): boolean {
    if (view.epoch <= (this.#view?.epoch ?? 0)) return false;
    this.#view = view;
    this.#options.onView(view);
    return true;
  }

  /** A completed retirement is final. */
  #retire(store: string, state: RetirementState): boolean {
    const present = this.#retirements.get(store);
    if (present === state || present === 'completed') return false;
    this.#retirements.set(store, state);
    return true;
  }
}
