import { MartenbayError } from '../core';

/** Too few stores answer to be certain of what was asked. */
export class TurnsUnavailable extends MartenbayError {
  constructor(message: string, options: ErrorOptions = {}) {
    super([{ code: 'turns_unavailable', path: [], message }], options);
  }
}
