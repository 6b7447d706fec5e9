import { digestFiles, safeParseConfiguration } from './parse';
import { type Configuration, type SourceFile } from './schema';

/** Outcome of offering a configuration to a process. */
export type AdoptOutcome =
  | 'adopted'
  | 'not-newer'
  | 'invalid'
  /** The changes do not lead from what is here to what they name; all of it is needed. */
  | 'incomplete';

/** A newer configuration, as what differs from an older one. */
export interface ConfigurationOffer {
  readonly number: number;
  readonly digest: string;
  /** Names of all files. */
  readonly names: readonly string[];
  readonly changed: readonly SourceFile[];
}

/** The configuration that one process has in force; it only ever moves upward. */
export class ConfigurationInForce {
  #current: Configuration | undefined;
  #files = new Map<string, SourceFile>();
  #incomplete = false;

  get current(): Configuration | undefined {
    return this.#current;
  }

  /** Number in force; 0 before the first. */
  get number(): number {
    return this.#current?.number ?? 0;
  }

  /** Number from which changes are to be told: 0 once changes did not fit, so that all come. */
  get knownNumber(): number {
    return this.#incomplete ? 0 : this.number;
  }

  /** Takes a configuration over if its number is higher and its files are what it names. */
  adopt({ number, digest, names, changed }: ConfigurationOffer): AdoptOutcome {
    if (number <= this.number) return 'not-newer';
    const offered = new Map([...this.#files, ...changed.map((file) => [file.name, file] as const)]);
    const files = names.flatMap((name) => offered.get(name) ?? []);
    this.#incomplete = files.length < names.length || digestFiles(files) !== digest;
    if (this.#incomplete) return 'incomplete';
    const parsed = safeParseConfiguration(files);
    if (parsed.err) return 'invalid';
    this.#current = parsed.val;
    this.#files = new Map(files.map((file) => [file.name, file]));
    return 'adopted';
  }
}
