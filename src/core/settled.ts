/** Like `Promise.all`, but rejects only once both promises have settled. */
export async function bothSettled<First, Second>(
  promises: readonly [Promise<First>, Promise<Second>],
): Promise<[First, Second]> {
  await Promise.allSettled(promises);
  return Promise.all(promises);
}
