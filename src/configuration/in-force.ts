import { type Configuration, type SourceFile } from './schema';
import { safeParseConfiguration } from './parse';

/** Outcome of offering a configuration to a process. */
export type AdoptOutcome = 'adopted' | 'not-newer' | 'invalid';

/** The configuration that one process has in force; it only ever moves upward. */
export class ConfigurationInForce {
  #current: Configuration | undefined;

  get current(): Configuration | undefined {
    return this.#current;
  }

  /** Number in force; 0 before the first. */
  get number(): number {
    return this.#current?.number ?? 0;
  }

  /** Takes a configuration over if its number is higher. */
  adopt(number: number, files: readonly SourceFile[]): AdoptOutcome {
    if (number <= this.number) return 'not-newer';
    const parsed = safeParseConfiguration(files);
    if (parsed.err) return 'invalid';
    this.#current = parsed.val;
    return 'adopted';
  }
}
