import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { Err, Ok, type Result } from 'ts-results';
import { messageOf } from '../core';
import { ConfigurationError } from './parse';
import type { SourceFile } from './schema';

/** Reads the `.toml` files of a directory, sorted by name. */
export function safeReadDirectory(
  directory: string,
): Result<readonly SourceFile[], ConfigurationError> {
  try {
    const names = readdirSync(directory)
      .filter((name) => name.endsWith('.toml'))
      .sort();
    if (names.length > 0) {
      return Ok(names.map((name) => ({ name, text: readFileSync(join(directory, name), 'utf8') })));
    }
    const message =
      'no file ending in .toml; pass the directory that contains the configuration files';
    return Err(new ConfigurationError([{ code: 'empty_directory', path: [directory], message }]));
  } catch (error) {
    const message = `can't be read; check the path and its permissions: ${messageOf(error)}`;
    const issue = { code: 'unreadable', path: [directory], message };
    return Err(new ConfigurationError([issue], { cause: error }));
  }
}
