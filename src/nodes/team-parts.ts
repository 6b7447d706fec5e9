import type { ClusterClient, LeaderConfirmation, NodeInfo } from '../cluster';
import { KeyGuard, QuotaGate } from '../gateway';
import { QuotaClient } from '../quotas';
import type { RouteTable } from '../routes';
import type { NodeParts } from './node';

export interface TeamPartsOptions {
  readonly parts: NodeParts;
  readonly self: NodeInfo;
  readonly client: ClusterClient;
  readonly confirmation: LeaderConfirmation;
  /** The newest routes that this process can read. */
  readonly routes: () => RouteTable | undefined;
}

/** What holds a gateway's callers to their teams' keys and quotas. */
export interface TeamParts {
  readonly keyGuard: KeyGuard;
  readonly quotas: QuotaClient;
  readonly quotaGate: QuotaGate;
}

export function createTeamParts(options: TeamPartsOptions): TeamParts {
  const { parts, self, client, confirmation, routes } = options;
  const { clock, logger, metrics, random, settings, configuration } = parts;
  const keyGuard = new KeyGuard({
    routes,
    newestVersion: () => configuration.version,
    confirmation,
    removalMilliseconds: settings.teams['key-removal-milliseconds'],
    metrics,
  });
  const quotas = new QuotaClient({
    run: self.run,
    ask: (report) => client.requestQuotas(report),
    clock,
    logger,
  });
  return { keyGuard, quotas, quotaGate: new QuotaGate({ quotas, random }) };
}
