/** One fault in structured form. */
export interface Issue {
  /** Stable identifier for programs, such as `unknown_key`. */
  readonly code: string;
  /** Location of the fault: a file, then keys and array indexes. */
  readonly path: readonly (string | number)[];
  /** What was found and how to correct it. */
  readonly message: string;
}

/** Formats a path as `file.toml: service[0].name`. */
export function formatPath(path: readonly (string | number)[]): string {
  const [first, ...rest] = path;
  const keys = rest
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${part}`))
    .join('')
    .replace(/^\./, '');
  const root = first === undefined ? '' : String(first);
  return keys === '' ? root : `${root}: ${keys}`;
}

export function formatIssue(issue: Issue): string {
  const location = formatPath(issue.path);
  return location === '' ? issue.message : `${location}: ${issue.message}`;
}

/**
 * Base class of the errors of each module. Modules wrap errors of lower layers in their own, with the
 * original as `cause`.
 */
export abstract class MartenbayError extends Error {
  readonly issues: readonly Issue[];

  constructor(issues: readonly Issue[], options: ErrorOptions = {}) {
    super(issues.map(formatIssue).join('\n'), options);
    this.name = new.target.name;
    this.issues = issues;
  }
}

/** Message of a thrown value of any type. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
