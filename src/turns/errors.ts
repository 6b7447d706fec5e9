import { MartenbayError } from '../core';

/** No quorum of stores answered in time. */
export class TurnsUnavailableError extends MartenbayError {
  constructor(message: string, options: ErrorOptions = {}) {
    super([{ code: 'turns_unavailable', path: [], message }], options);
  }
}

/** A change of a store's state stopped half-way; nothing is served until the disk was read again. */
export class UncertainStateError extends MartenbayError {
  constructor() {
    const message = 'the state of this store is uncertain; it is read again from the disk';
    super([{ code: 'uncertain_state', path: [], message }]);
  }
}
