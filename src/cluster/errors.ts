import { MartenbayError } from '../core';

/** The cluster's state can't be changed or read for certain at this moment. */
export class ClusterUnavailable extends MartenbayError {
  constructor(message: string, options: ErrorOptions = {}) {
    super([{ code: 'cluster_unavailable', path: [], message }], options);
  }
}
