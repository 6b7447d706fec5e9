/** Reserved for stopping the components after the requests. */
const SHUTDOWN_RESERVE_MILLISECONDS = 300;

/** Part of a process's `stop-seconds` for ending the requests after the stop signal, in milliseconds. */
export function drainMilliseconds(stopSeconds: number): number {
  const milliseconds = stopSeconds * 1000;
  return milliseconds - Math.min(SHUTDOWN_RESERVE_MILLISECONDS, milliseconds / 4);
}
