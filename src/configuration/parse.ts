import { Err, Ok, type Result } from 'ts-results';
import { type Issue, MartenbayError, digestValue, issuesOf, parseDocument } from '../core';
import { validateFiles } from './validation';
import { type Configuration, type ParsedFile, type SourceFile, fileSchema } from './schema';

/** A configuration directory can't be read or is not valid; holds the issues of all files. */
export class ConfigurationError extends MartenbayError {}

/** SHA-256 over the names and texts of all files, independent of their order. */
export function digestFiles(files: readonly SourceFile[]): string {
  const sorted = [...files].sort((left, right) => (left.name < right.name ? -1 : 1));
  return digestValue(sorted.map(({ name, text }) => [name, text]));
}

/**
 * Parses, validates and merges the files of a configuration directory.
 *
 * @example
 * const result = safeParseConfiguration([{ name: 'all.toml', text: 'number = 1' }]);
 * if (result.err) console.error(result.val.issues);
 */
export function safeParseConfiguration(
  files: readonly SourceFile[],
): Result<Configuration, ConfigurationError> {
  const issues: Issue[] = [];
  const parsed: ParsedFile[] = [];
  for (const file of files) {
    const document = parseDocument(file.name, file.text);
    issues.push(...document.issues);
    if (document.issues.length > 0) continue;
    const checked = fileSchema.safeParse(document.value);
    if (checked.success) parsed.push({ name: file.name, content: checked.data });
    else issues.push(...issuesOf(file.name, checked.error, document.value));
  }
  if (issues.length === 0) issues.push(...checkNumber(parsed), ...validateFiles(parsed));
  if (issues.length > 0) return Err(new ConfigurationError(issues));
  return Ok(merge(parsed, digestFiles(files)));
}

/** Like {@link safeParseConfiguration}, but throws the error. */
export function parseConfiguration(files: readonly SourceFile[]): Configuration {
  const result = safeParseConfiguration(files);
  if (result.err) throw result.val;
  return result.val;
}

function checkNumber(files: readonly ParsedFile[]): readonly Issue[] {
  const filesWithNumber = files.filter((file) => file.content.number !== undefined);
  if (filesWithNumber.length === 1) return [];
  const [, second] = filesWithNumber;
  if (second === undefined) {
    const message =
      'no file has the key "number"; add it to one file, higher than the last applied';
    return [{ code: 'number_missing', path: [], message }];
  }
  const message = `"number" is set in ${filesWithNumber.map((file) => file.name).join(' and ')}; keep one`;
  return [{ code: 'number_twice', path: [second.name, 'number'], message }];
}

function merge(files: readonly ParsedFile[], digest: string): Configuration {
  const contents = files.map((file) => file.content);
  return {
    number: contents.find((content) => content.number !== undefined)?.number ?? 0,
    digest,
    availabilityZones: contents.flatMap((content) => content['availability-zone']),
    distances: contents.flatMap((content) => content.distance),
    teams: contents.flatMap((content) => content.team),
    budgets: contents.flatMap((content) => content.budget),
    programs: contents.flatMap((content) => content.program),
    services: contents.flatMap((content) => content.service),
    pools: contents.flatMap((content) => content.pool),
  };
}
