import { MemoryDisk } from '../../storage/tests/memory-disk';
import type { NodeKind } from '..';
import { type SimulatedProcess, TOLERATED_LOSSES } from './simulated-process';

/** A machine; its process and the content of its disk change. */
export interface SimulatedHost {
  readonly name: string;
  readonly kind: NodeKind;
  address: string;
  /** Undefined on gateways without a replica of the cluster state. */
  readonly disk: MemoryDisk | undefined;
  process: SimulatedProcess | undefined;
  isStopping: boolean;
  /** Between a planned stop and the next start. */
  isRestarting: boolean;
  /** Replaced by another machine; never started again. */
  isRemoved: boolean;
  slowDisk: boolean;
  /** Number of cuts that separate the host from others. */
  cuts: number;
  /** Time for which the host counts as disturbed, in milliseconds. */
  disturbedMilliseconds: number;
  /** Whether the lost disk was that of its predecessor, not its own. */
  isSuccessor: boolean;
  /** Lost disks for which the host has to catch up, with those of its predecessors. */
  lostDisks: number;
  /** Time for which the host counts as lost with its disk, in milliseconds; 0 if it does not. */
  lostMilliseconds: number;
}

/** Time after its return for which a host that lost its disk still counts as lost. */
export const CATCH_UP_MILLISECONDS = 6000;

export function createDisk(): MemoryDisk {
  return new MemoryDisk({ unsyncedNames: 'separate' });
}

/** Disks that are lost in addition if this host loses its disk now. */
export function newLossesOf({ lostMilliseconds, isSuccessor }: SimulatedHost): number {
  return lostMilliseconds > 0 && !isSuccessor ? 0 : 1;
}

export function isInTouch({ process, isStopping, slowDisk, cuts }: SimulatedHost): boolean {
  return process?.isSuspended === false && !isStopping && !slowDisk && cuts === 0;
}

/**
 * Advances the time for which hosts count as lost. A host that lost its disk counts until it has been
 * in touch for a time in which no more hosts than tolerated were disturbed.
 */
export function trackCatchUp(
  allHosts: readonly SimulatedHost[],
  isNetworkSound: boolean,
  milliseconds: number,
): void {
  const hosts = allHosts.filter(({ disk, isRemoved }) => disk !== undefined && !isRemoved);
  for (const host of hosts) {
    const isDisturbed = !isInTouch(host) && !host.isRestarting;
    host.disturbedMilliseconds = isDisturbed
      ? CATCH_UP_MILLISECONDS
      : Math.max(0, host.disturbedMilliseconds - milliseconds);
  }
  const disturbed = hosts.filter(
    (host) => !isInTouch(host) || host.disturbedMilliseconds > 0 || host.lostMilliseconds > 0,
  );
  const isTolerated = disturbed.length <= TOLERATED_LOSSES && isNetworkSound;
  for (const host of hosts.filter(({ lostMilliseconds }) => lostMilliseconds > 0)) {
    const catchesUp = isTolerated && isInTouch(host);
    host.lostMilliseconds = catchesUp
      ? host.lostMilliseconds - milliseconds
      : CATCH_UP_MILLISECONDS;
    if (host.lostMilliseconds === 0) Object.assign(host, { lostDisks: 0, isSuccessor: false });
  }
}
