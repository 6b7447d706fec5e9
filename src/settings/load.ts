import { readFileSync, statSync } from 'node:fs';
import { Err, Ok, type Result } from 'ts-results';
import type * as z from 'zod';
import { MartenbayError, issuesOf, messageOf, parseDocument } from '../core';

/** A settings file can't be read or is not valid. */
export class SettingsError extends MartenbayError {}

/** Parses and validates the text of a settings file; the error holds all issues. */
export function safeParseSettings<T extends z.ZodType>(
  schema: T,
  file: string,
  text: string,
): Result<z.output<T>, SettingsError> {
  const document = parseDocument(file, text);
  if (document.issues.length > 0) return Err(new SettingsError(document.issues));
  const parsed = schema.safeParse(document.value);
  if (parsed.success) return Ok(parsed.data);
  return Err(new SettingsError(issuesOf(file, parsed.error, document.value)));
}

export function safeLoadSettings<T extends z.ZodType>(
  schema: T,
  file: string,
): Result<z.output<T>, SettingsError> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const message = `can't be read; check the path and its permissions: ${messageOf(error)}`;
    return Err(
      new SettingsError([{ code: 'unreadable', path: [file], message }], { cause: error }),
    );
  }
  return safeParseSettings(schema, file, text);
}

/** Like {@link safeLoadSettings}, but throws the error. */
export function loadSettings<T extends z.ZodType>(schema: T, file: string): z.output<T> {
  const result = safeLoadSettings(schema, file);
  if (result.err) throw result.val;
  return result.val;
}

/** Wall-clock milliseconds since the Unix epoch, 0 if the file is missing; may go backwards. */
export function readModificationTime(file: string): number {
  return statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
}
