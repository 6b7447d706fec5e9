import { MartenbayError } from '../core';

/** The cluster state can't be changed or consistently read at present. */
export class ClusterUnavailableError extends MartenbayError {
  constructor(message: string, options: ErrorOptions = {}) {
    super([{ code: 'cluster_unavailable', path: [], message }], options);
  }
}
