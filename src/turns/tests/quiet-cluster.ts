import { rankReplicas } from '../replica-ranking';
import type { TurnClient } from '..';
import { HistoryCluster, type StoreHost } from './history-cluster';

const START_MILLISECONDS = 1500;

/** Time that a call to the stores is given; shorter than that for which it runs. */
const CALL_MILLISECONDS = 1500;

/** Stores and gateways in simulated time that tolerate one loss and that only the test disturbs. */
export class QuietCluster {
  readonly failures: string[] = [];
  readonly cluster = new HistoryCluster({
    seed: 1,
    toleratedLosses: 1,
    spares: 0,
    onCommit: () => undefined,
    onFailure: (message) => this.failures.push(message),
  });

  static async start(): Promise<QuietCluster> {
    const quietCluster = new QuietCluster();
    quietCluster.cluster.startAll();
    await quietCluster.advance(START_MILLISECONDS / 1000);
    return quietCluster;
  }

  advance(seconds: number): Promise<void> {
    const { clock } = this.cluster;
    return clock.runUntil(clock.monotonic() + seconds * 1000);
  }

  /** Runs a call through a gateway until after its deadline. */
  async call<Value>(
    gateway: number,
    begin: (turns: TurnClient, deadline: number) => Promise<Value>,
  ): Promise<Value> {
    const { clock, gateways } = this.cluster;
    const turns = gateways[gateway]?.turns;
    if (turns === undefined) throw new Error(`gateway ${gateway} does not run`);
    const outcome = begin(turns, clock.monotonic() + CALL_MILLISECONDS);
    // Handled when it is awaited, which may be after its rejection.
    outcome.catch(() => undefined);
    await this.advance((CALL_MILLISECONDS + 100) / 1000);
    return outcome;
  }

  /** Stores in the order in which they are preferred for a program. */
  replicasOf(program: string): readonly StoreHost[] {
    const { stores, gateways } = this.cluster;
    const view = gateways[0]?.view?.value;
    if (view === undefined) throw new Error('no view was committed');
    return rankReplicas(view, program).flatMap((member) =>
      stores.filter(({ name }) => name === member.name),
    );
  }

  /** The store starts again at once, with an empty disk. */
  loseDisk(store: StoreHost | undefined): void {
    if (store === undefined) throw new Error('no such store');
    this.cluster.wipe(store);
    this.cluster.startStore(store);
  }
}
