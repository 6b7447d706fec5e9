import { parse as parseToml } from 'smol-toml';
import type * as z from 'zod';
import { type Issue, messageOf } from './errors';

/** Parses TOML text; a syntax error becomes one `toml_syntax` issue. */
export function parseDocument(
  file: string,
  text: string,
): { readonly value: unknown; readonly issues: readonly Issue[] } {
  try {
    return { value: parseToml(text), issues: [] };
  } catch (error) {
    const message = `not valid TOML; correct the syntax: ${messageOf(error)}`;
    return { value: undefined, issues: [{ code: 'toml_syntax', path: [file], message }] };
  }
}

/** Converts schema errors to issues with the file, the key, the value found and the correction. */
export function issuesOf(file: string, error: z.ZodError, input: unknown): readonly Issue[] {
  return error.issues.map((issue) => {
    const path = issue.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
    return { code: issue.code, path: [file, ...path], message: describeIssue(issue, path, input) };
  });
}

function describeIssue(
  issue: z.core.$ZodIssue,
  path: readonly (string | number)[],
  input: unknown,
): string {
  if (issue.code === 'unrecognized_keys') {
    const keys = issue.keys.map((key) => `"${key}"`).join(', ');
    return `unknown key ${keys}; remove it or correct its spelling`;
  }
  const found = valueAt(input, path);
  if (found === undefined) return `missing; add this key (${issue.message})`;
  return `found ${JSON.stringify(found)}; ${issue.message}`;
}

function valueAt(input: unknown, path: readonly (string | number)[]): unknown {
  return path.reduce<unknown>(
    (value, part) =>
      typeof value === 'object' && value !== null
        ? (value as Readonly<Record<string | number, unknown>>)[part]
        : undefined,
    input,
  );
}
