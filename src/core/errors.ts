/** One thing that is wrong, kept apart from the text that a person reads. */
export interface Issue {
  /** Stable identifier for programs, such as `unknown_key`. */
  readonly code: string;
  /** Where the fault is: a file, then keys and list positions. */
  readonly path: readonly (string | number)[];
  /** What was found and how to mend it. */
  readonly message: string;
}

/** Renders a path as `file.toml: service[0].name`. */
export function formatPath(path: readonly (string | number)[]): string {
  const [first, ...rest] = path;
  const keys = rest
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${part}`))
    .join('')
    .replace(/^\./, '');
  const head = first === undefined ? '' : String(first);
  return keys === '' ? head : `${head}: ${keys}`;
}

/** Renders an issue on one line. */
export function formatIssue(issue: Issue): string {
  const where = formatPath(issue.path);
  return where === '' ? issue.message : `${where}: ${issue.message}`;
}

/**
 * Base of every layer's error. A layer catches the errors of the layer below and turns them into
 * its own, keeping the original as `cause`.
 */
export abstract class MartenbayError extends Error {
  readonly issues: readonly Issue[];

  constructor(issues: readonly Issue[], options: ErrorOptions = {}) {
    super(issues.map(formatIssue).join('\n'), options);
    this.name = new.target.name;
    this.issues = issues;
  }
}

/** Returns the message of anything thrown. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
