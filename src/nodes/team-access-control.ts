import type { ClusterClient, LeaderConfirmation, NodeInfo } from '../cluster';
import { KeyGuard, QuotaGate } from '../gateway';
import { QuotaClient } from '../quotas';
import type { RouteTable } from '../routes';
import type { NodeContext } from './node-context';

export interface TeamAccessControlOptions {
  readonly context: NodeContext;
  readonly self: NodeInfo;
  readonly client: ClusterClient;
  readonly confirmation: LeaderConfirmation;
  /** Routes of the newest valid configuration; `undefined` before the first one. */
  readonly routes: () => RouteTable | undefined;
}

/** Enforces teams' keys and quotas at a gateway. */
export interface TeamAccessControl {
  readonly keyGuard: KeyGuard;
  readonly quotas: QuotaClient;
  readonly quotaGate: QuotaGate;
}

export function createTeamAccessControl(options: TeamAccessControlOptions): TeamAccessControl {
  const { context, self, client, confirmation, routes } = options;
  const { clock, logger, metrics, random, settings, configuration } = context;
  const keyGuard = new KeyGuard({
    routes,
    newestVersion: () => configuration.version,
    confirmation,
    removalMilliseconds: settings.teams['key-removal-milliseconds'],
    metrics,
  });
  const quotas = new QuotaClient({
    run: self.run,
    sendReport: (report) => client.requestQuotas(report),
    clock,
    logger,
  });
  return { keyGuard, quotas, quotaGate: new QuotaGate({ quotas, random }) };
}
