/** A part that the life-cycle manager owns. */
export interface Component {
  /** Acquires what the part needs; a rejection stops the start. */
  start?(): Promise<void> | void;
  /** Finishes the work under way, then gives everything back. */
  stop?(): Promise<void> | void;
}

interface NamedComponent {
  readonly name: string;
  readonly component: Component;
}

/**
 * Starts components in the order they were added and stops them in the reverse order. A failed
 * start stops what had been started, so that nothing stays open.
 */
export class LifeCycle {
  readonly #components: NamedComponent[] = [];
  #started: NamedComponent[] = [];
  #stopping: Promise<void> | undefined;

  /** Adds a component and returns it. */
  add<T extends Component>(name: string, component: T): T {
    this.#components.push({ name, component });
    return component;
  }

  async start(): Promise<void> {
    for (const entry of this.#components) {
      try {
        await entry.component.start?.();
      } catch (error) {
        await this.stop();
        throw error;
      }
      this.#started.push(entry);
    }
  }

  /** Stops everything once; later calls wait for the same stop. */
  stop(): Promise<void> {
    this.#stopping ??= this.#stopAll();
    return this.#stopping;
  }

  async #stopAll(): Promise<void> {
    const failures: unknown[] = [];
    for (const entry of this.#started.reverse()) {
      try {
        await entry.component.stop?.();
      } catch (error) {
        failures.push(error);
      }
    }
    this.#started = [];
    if (failures.length > 0) throw new AggregateError(failures, 'Components failed to stop');
  }
}
