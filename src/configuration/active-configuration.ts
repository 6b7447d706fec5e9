import { digestFiles, safeParseConfiguration } from './parse';
import { type Configuration, type SourceFile } from './schema';

export type AdoptOutcome =
  | 'adopted'
  | 'not-newer'
  | 'invalid'
  /** The changes are based on other files than those present; all files must be sent. */
  | 'incomplete';

/** A configuration as its difference from an older one. */
export interface ConfigurationUpdate {
  readonly number: number;
  /** Result of {@link digestFiles} for all files. */
  readonly digest: string;
  /** Names of all files, changed or not. */
  readonly names: readonly string[];
  readonly changed: readonly SourceFile[];
}

/** The active configuration of a process, whose number only increases. */
export class ActiveConfiguration {
  #current: Configuration | undefined;
  #files = new Map<string, SourceFile>();
  #incomplete = false;

  get current(): Configuration | undefined {
    return this.#current;
  }

  /** Number of the active configuration; 0 if there is none. */
  get number(): number {
    return this.#current?.number ?? 0;
  }

  /**
   * Number of the configuration that the next changes must be based on; 0 after an `incomplete`
   * outcome, to request all files.
   */
  get deltaBaseNumber(): number {
    return this.#incomplete ? 0 : this.number;
  }

  /**
   * Activates a configuration if its number is higher, its files match its digest and it is valid.
   */
  adopt({ number, digest, names, changed }: ConfigurationUpdate): AdoptOutcome {
    if (number <= this.number) return 'not-newer';
    const available = new Map([
      ...this.#files,
      ...changed.map((file) => [file.name, file] as const),
    ]);
    const files = names.flatMap((name) => available.get(name) ?? []);
    this.#incomplete = files.length < names.length || digestFiles(files) !== digest;
    if (this.#incomplete) return 'incomplete';
    const parsed = safeParseConfiguration(files);
    if (parsed.err) return 'invalid';
    this.#current = parsed.val;
    this.#files = new Map(files.map((file) => [file.name, file]));
    return 'adopted';
  }
}
