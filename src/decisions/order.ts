/** Engines know 0 to 9 and take 5 where nothing is said. */
const ENGINE_PRIORITY = { first: 2, step: 3, last: 9 };

/**
 * The priority with which engines order a route's turns, 0 first. Answers engines that are full: the
 * more urgent kind of program is admitted ahead of the other.
 */
export function enginePriority({ priority }: { readonly priority: number }): number {
  const { first, step, last } = ENGINE_PRIORITY;
  return Math.min(first + priority * step, last);
}
