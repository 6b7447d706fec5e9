import { Socket } from 'node:net';
import { ConnectionMonitor } from '../http';

/**
 * Connection to a target, read by an HTTP client that fails an assertion if the connection ends while
 * a response is paused: the end waits until the response is resumed. An error thrown by a listener
 * closes this connection only.
 */
export class TargetSocket extends Socket {
  readonly #onListenerError: (error: unknown) => void;
  #holdsEnd = false;
  #hasEnded = false;

  constructor(onListenerError: (error: unknown) => void) {
    // Otherwise Node.js closes the connection at its end, which the client takes for the end too.
    super({ allowHalfOpen: true });
    this.#onListenerError = onListenerError;
  }

  /** Called when the response is paused. */
  holdEnd(): void {
    this.#holdsEnd = true;
  }

  /** Passes on what is left of the response, then an end that was held unless it is paused again. */
  releaseEnd(resume: () => void): void {
    this.#holdsEnd = false;
    resume();
    this.#passEnd();
  }

  override emit(event: string | symbol, ...values: unknown[]): boolean {
    if (event === 'end' && this.#holdsEnd) {
      ConnectionMonitor.of(this).recordEnd();
      this.#hasEnded = true;
      return true;
    }
    try {
      return super.emit(event, ...values);
    } catch (error) {
      this.#onListenerError(error);
      this.destroy(error instanceof Error ? error : new Error(String(error)));
      return true;
    }
  }

  #passEnd(): void {
    if (this.#holdsEnd || !this.#hasEnded) return;
    this.#hasEnded = false;
    this.emit('end');
  }
}
