import { MartenbayError } from '../core';

/** Durable state can't be read or written; the failed operation was not acknowledged. */
export class StorageError extends MartenbayError {
  /** Creates an error with one issue, whose path is `file`. */
  static at(file: string, code: string, message: string, cause?: unknown): StorageError {
    return new StorageError([{ code, path: [file], message }], { cause });
  }
}
