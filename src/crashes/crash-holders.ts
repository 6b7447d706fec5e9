import type { NodeInfo } from '../cluster';

/** Gateways that keep the crashes of a request, so that any two of them may be lost. */
const HOLDER_COUNT = 3;

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * The gateways that collect the crashes of a request, by rendezvous hashing of its fingerprint. Gateways
 * that know the same gateways select the same holders, and one that is lost or added changes few.
 */
export function selectHolders(
  gateways: readonly NodeInfo[],
  fingerprint: string,
): readonly NodeInfo[] {
  return gateways
    .map((node) => ({ node, rank: hashOf(`${node.name}\n${fingerprint}`) }))
    .sort((left, right) => left.rank - right.rank || (left.node.name < right.node.name ? -1 : 1))
    .slice(0, HOLDER_COUNT)
    .map(({ node }) => node);
}

/** FNV-1a, 32 bits: ranks hundreds of gateways when many requests lose their targets at once. */
function hashOf(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
