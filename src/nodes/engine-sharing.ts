import type { NodeInfo } from '../cluster';
import type { LifeCycle } from '../core';
import type { EngineLoad } from '../decisions';
import { EngineAdmission, FairShares } from '../gateway';
import type { CastHandlers } from '../rpc';
import type { RouteTable } from '../routes';
import {
  CoordinatorSelector,
  DemandExchange,
  type DurationAverages,
  EngineDemandTracker,
  LoadExchange,
  type TargetChooser,
  type TargetDirectory,
  totalLoadOf,
} from '../targets';
import type { SystemContract } from './contract';
import type { NodeContext } from './node-context';

export interface EngineSharingOptions {
  readonly context: NodeContext;
  readonly self: NodeInfo;
  readonly targets: TargetDirectory;
  readonly chooser: TargetChooser;
  readonly durations: DurationAverages;
  /** Routes of the newest valid configuration; `undefined` before the first one. */
  readonly routes: () => RouteTable | undefined;
}

/** Admission of turns to the engines that all gateways share. */
export interface EngineSharing {
  readonly engineAdmission: EngineAdmission;
  readonly casts: readonly CastHandlers<SystemContract>[];
  addTo(lifeCycle: LifeCycle): void;
}

export function createEngineSharing(options: EngineSharingOptions): EngineSharing {
  const { context, self, targets, chooser, durations, routes } = options;
  const { clock, random, logger, metrics, peers, directory, settings } = context;
  const { decisions: switches } = settings;
  const coordinators = new CoordinatorSelector({ self, directory, peers, clock, logger });
  const loads = new LoadExchange({ self, directory, targets, coordinators, peers, clock });
  const tracker = new EngineDemandTracker();
  const engines = () => loadOfSharedEngines(targets, routes());
  const demandOptions = { self, directory, coordinators, peers, tracker, engines, clock };
  const demand = new DemandExchange(demandOptions);
  // Shares are based on the loads of all gateways and act through the priorities at engines.
  const usesShares =
    switches['fair-shares'] && switches['shared-loads'] && switches['engine-priorities'];
  const fairShares = usesShares
    ? new FairShares({ demand, engines, routes, clock, logger, metrics })
    : undefined;
  const engineAdmission = new EngineAdmission({
    ...{ chooser, tracker, fairShares, durations, switches, random },
  });
  return {
    engineAdmission,
    casts: [loads.casts, demand.casts],
    addTo: (lifeCycle) => {
      if (switches['shared-loads']) lifeCycle.add('loads', loads);
      if (usesShares) lifeCycle.add('engine-demand', demand);
    },
  };
}

/** Returns undefined without teams. */
function loadOfSharedEngines(
  targets: TargetDirectory,
  table: RouteTable | undefined,
): EngineLoad | undefined {
  const { teams = [], services = [] } = table?.configuration ?? {};
  if (teams.length === 0) return undefined;
  const engines = services.filter(({ engine }) => engine !== undefined);
  return totalLoadOf(engines.flatMap(({ name }) => targets.ofService(name).all));
}
