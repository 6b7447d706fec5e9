import type { Clock } from '../../core';
import { RpcError } from '../errors';

/** Time after which a connection whose peer is silent is closed. */
const LOSS_DETECTION_MILLISECONDS = 1500;

/** Simulates a confirmed cast: rejects unless `send` confirms the arrival before a loss is detected. */
export function confirmOrReject(clock: Clock, send: (confirm: () => void) => void): Promise<void> {
  return new Promise((resolve, reject) => {
    clock.after(LOSS_DETECTION_MILLISECONDS, () => {
      reject(RpcError.of('lost', 'the connection was lost'));
    });
    send(resolve);
  });
}
