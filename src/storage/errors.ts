import { MartenbayError } from '../core';

/** Durable state can't be read or written; nothing was acknowledged. */
export class StorageError extends MartenbayError {
  /** Builds the error for one file. */
  static at(file: string, code: string, message: string, cause?: unknown): StorageError {
    return new StorageError([{ code, path: [file], message }], { cause });
  }
}
