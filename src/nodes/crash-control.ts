import type { NodeInfo } from '../cluster';
import type { LifeCycle } from '../core';
import {
  CrashDetector,
  CrashExchange,
  CrashGuard,
  ExposureTable,
  RepeatingTargetProber,
  type TargetProber,
} from '../crashes';
import type { CallHandlers, CastHandlers } from '../rpc';
import type { TargetDirectory } from '../targets';
import type { SystemContract } from './contract';
import type { NodeContext } from './node-context';

export interface CrashControlOptions {
  readonly context: NodeContext;
  readonly self: NodeInfo;
  readonly targets: TargetDirectory;
  readonly prober: TargetProber;
}

/** Stops requests under which targets end, together with the other gateways. */
export interface CrashControl {
  readonly guard: CrashGuard;
  readonly calls: CallHandlers<SystemContract>;
  readonly casts: CastHandlers<SystemContract>;
  addTo(lifeCycle: LifeCycle): void;
}

export function createCrashControl({
  context,
  self,
  targets,
  prober,
}: CrashControlOptions): CrashControl {
  const { clock, logger, metrics, peers, directory } = context;
  const table = new ExposureTable(clock);
  const detector = new CrashDetector({
    ...{ targets, clock },
    prober: new RepeatingTargetProber(prober, clock),
  });
  const exchange = new CrashExchange({ self, directory, table, peers, clock, logger });
  const guard = new CrashGuard({
    ...{ gateway: self.name, table, detector, exchange, clock, logger, metrics },
  });
  return {
    guard,
    calls: exchange.calls,
    casts: exchange.casts,
    addTo: (lifeCycle) => {
      lifeCycle.add('crash-detector', detector);
      lifeCycle.add('crash-exchange', exchange);
    },
  };
}
