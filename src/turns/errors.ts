import { MartenbayError } from '../core';

/** No quorum of stores answered in time. */
export class TurnsUnavailableError extends MartenbayError {
  constructor(message: string, options: ErrorOptions = {}) {
    super([{ code: 'turns_unavailable', path: [], message }], options);
  }
}
