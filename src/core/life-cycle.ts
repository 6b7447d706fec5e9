/** A part of a process that {@link LifeCycle} starts and stops. */
export interface Component {
  /** Acquires resources; a rejection aborts the start of the process. */
  start?(): Promise<void> | void;
  /** Finishes the work in progress, then releases all resources. */
  stop?(): Promise<void> | void;
}

interface NamedComponent {
  readonly name: string;
  readonly component: Component;
}

/**
 * Starts components in the order they were added and stops them in the reverse order. A failed
 * start stops the components that were started before it.
 */
export class LifeCycle {
  readonly #components: NamedComponent[] = [];
  #started: NamedComponent[] = [];
  #stopping: Promise<void> | undefined;

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

  /** Stops all components once; later calls return the same promise. */
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
    if (failures.length > 0) throw new AggregateError(failures, 'components failed to stop');
  }
}
