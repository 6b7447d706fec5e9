import * as z from 'zod';
import {
  type Configuration,
  type SourceFile,
  parseConfiguration,
  safeParseConfiguration,
  sourceFileSchema,
} from '../configuration';
import type { StateMachine } from '../replication';
import {
  type AcceptConfiguration,
  acceptConfigurationSchema,
  recordLeavingHostsSchema,
} from './commands';
import type { AcceptOutcome, ConfigurationResult, NotAccepted } from './outcomes';

/** A file with the number of the configuration in which its text last changed. */
const versionedFileSchema = sourceFileSchema.extend({ since: z.int() });
type VersionedFile = Readonly<z.output<typeof versionedFileSchema>>;

/** An accepted configuration with its source files. */
export interface AcceptedConfiguration {
  readonly configuration: Configuration;
  readonly files: readonly VersionedFile[];
}

/** Changes for a process that has an older configuration, or none. */
export interface ConfigurationChanges {
  readonly number: number;
  readonly digest: string;
  /** Names of all files, changed or not. */
  readonly names: readonly string[];
  /** Files that are new or changed since the number that the process has. */
  readonly changed: readonly SourceFile[];
}

const rowSchema = z.discriminatedUnion('table', [
  z.object({ table: z.literal('files'), value: z.array(versionedFileSchema).readonly() }),
  z.object({
    table: z.literal('digests'),
    value: z.array(z.tuple([z.int(), z.string()])),
    /** In a row of its own without digests, which members of earlier versions restore too. */
    leavingHosts: z.array(z.string()).readonly().optional(),
  }),
]);
type Row = Readonly<z.output<typeof rowSchema>>;

/** Maximum number of digests in one snapshot row. */
const DIGESTS_PER_ROW = 1024;

/**
 * The replicated configuration. Accepting is idempotent: a number and digest that were accepted
 * once always get the same outcome. An accepted number with another digest is rejected, and so is
 * a new number below the active one. Also holds the names of the leaving hosts.
 */
export class ConfigurationStateMachine implements StateMachine<ConfigurationResult> {
  readonly #onChange: () => void;
  #accepted: AcceptedConfiguration | undefined;
  #digests = new Map<number, string>();
  #leavingHosts: readonly string[] = [];

  /**
   * `onChange` runs on every member after a configuration was accepted, leaving hosts were recorded
   * or a snapshot was restored.
   */
  constructor(onChange: () => void = () => undefined) {
    this.#onChange = onChange;
  }

  get accepted(): AcceptedConfiguration | undefined {
    return this.#accepted;
  }

  /** Number of the active configuration; 0 if there is none. */
  get number(): number {
    return this.#accepted?.configuration.number ?? 0;
  }

  /** Hosts that the platform listed as leaving and has not listed as live since. */
  get leavingHosts(): readonly string[] {
    return this.#leavingHosts;
  }

  /** Changes since a configuration number; undefined if that number is not below the active one. */
  changesSince(number: number): ConfigurationChanges | undefined {
    if (this.#accepted === undefined || number >= this.number) return undefined;
    const { configuration, files } = this.#accepted;
    return {
      number: configuration.number,
      digest: configuration.digest,
      names: files.map((file) => file.name),
      changed: files
        .filter((file) => file.since > number)
        .map(({ name, text }) => ({ name, text })),
    };
  }

  apply(text: string): ConfigurationResult {
    const entry: unknown = JSON.parse(text);
    const recorded = recordLeavingHostsSchema.safeParse(entry);
    if (recorded.success) {
      this.#leavingHosts = recorded.data.leavingHosts;
      this.#onChange();
      return { outcome: 'leaving-hosts-recorded' };
    }
    const outcome = this.#accept(acceptConfigurationSchema.parse(entry));
    if (outcome.outcome === 'accepted') this.#onChange();
    return outcome;
  }

  *snapshot(): Generator<string> {
    const files = this.#accepted?.files;
    const digests = [...this.#digests];
    const leavingHosts = this.#leavingHosts;
    if (files !== undefined) yield encode({ table: 'files', value: files });
    for (let start = 0; start < digests.length; start += DIGESTS_PER_ROW) {
      yield encode({ table: 'digests', value: digests.slice(start, start + DIGESTS_PER_ROW) });
    }
    if (leavingHosts.length > 0) yield encode({ table: 'digests', value: [], leavingHosts });
  }

  restore(rows: readonly string[]): void {
    this.#accepted = undefined;
    this.#digests = new Map();
    this.#leavingHosts = [];
    for (const text of rows) {
      const row = rowSchema.parse(JSON.parse(text));
      if (row.table === 'files') {
        this.#accepted = { configuration: parseConfiguration(row.value), files: row.value };
      } else {
        for (const [number, digest] of row.value) this.#digests.set(number, digest);
        this.#leavingHosts = row.leavingHosts ?? this.#leavingHosts;
      }
    }
    this.#onChange();
  }

  #accept({ number, digest, files }: AcceptConfiguration): AcceptOutcome {
    const acceptedDigest = this.#digests.get(number);
    if (acceptedDigest === digest) return { outcome: 'accepted', number, digest };
    if (acceptedDigest !== undefined) {
      const message = `number ${number} is taken by the configuration with digest ${acceptedDigest}; raise "number"`;
      return this.#refuse('number-taken', message);
    }
    if (number < this.number) {
      const message = `number ${number} is lower than ${this.number}, which is in force; raise "number"`;
      return this.#refuse('number-low', message);
    }
    const parsed = safeParseConfiguration(files);
    if (parsed.err) return this.#refuse('invalid', parsed.val.message);
    if (parsed.val.number !== number || parsed.val.digest !== digest) {
      return this.#refuse('invalid', 'the files do not match their number and digest');
    }
    this.#accepted = { configuration: parsed.val, files: this.#withVersions(files, number) };
    this.#digests.set(number, digest);
    return { outcome: 'accepted', number, digest };
  }

  #withVersions(files: readonly SourceFile[], number: number): readonly VersionedFile[] {
    const knownFiles = new Map(this.#accepted?.files.map((file) => [file.name, file]));
    return files.map((file) => {
      const knownFile = knownFiles.get(file.name);
      return knownFile?.text === file.text ? knownFile : { ...file, since: number };
    });
  }

  #refuse(code: NotAccepted['code'], message: string): NotAccepted {
    const digest = this.#accepted?.configuration.digest ?? '';
    return { outcome: 'not-accepted', code, message, number: this.number, digest };
  }
}

function encode(row: Row): string {
  return JSON.stringify(row);
}
