import fc from 'fast-check';
import type { Action, ClusterSchedule, FaultAction } from './cluster-schedule';

const host = fc.nat({ max: 6 });
const duration = fc.integer({ min: 100, max: 4000 });
const downMilliseconds = fc.integer({ min: 50, max: 1500 });
const hosts = fc.array(host, { minLength: 1, maxLength: 2 });
const manyHosts = fc.oneof(
  fc.constant('all' as const),
  fc.array(host, { minLength: 1, maxLength: 4 }),
);

const others = fc.constantFrom('run', 'kill', 'lose-power', 'lose-power');

const lostDisks = fc.record({
  kind: fc.constant('lose-disks' as const),
  hosts,
  others,
  downMilliseconds,
});

const lostStores = fc.record({
  kind: fc.constant('lose-stores' as const),
  stores: fc.array(fc.nat({ max: 5 }), { minLength: 1, maxLength: 2 }),
  others,
  downMilliseconds,
});

const fault: fc.Arbitrary<FaultAction> = fc.oneof(
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('kill' as const),
      hosts: manyHosts,
      downMilliseconds,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('lose-power' as const),
      hosts: manyHosts,
      downMilliseconds,
    }),
  },
  {
    weight: 12,
    arbitrary: lostDisks,
  },
  {
    weight: 5,
    arbitrary: lostStores,
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('cut' as const),
      host,
      direction: fc.constantFrom('in', 'out', 'both', 'both'),
      milliseconds: duration,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('split' as const),
      hosts: fc.array(host, { minLength: 1, maxLength: 3 }),
      milliseconds: duration,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('suspend' as const), host, milliseconds: duration }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('slow-disk' as const), host, milliseconds: duration }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('lose-messages' as const),
      fraction: fc.constantFrom(0.05, 0.3),
      milliseconds: duration,
    }),
  },
);

const through = fc.nat({ max: 6 });

const program = fc.nat({ max: 1 });
const gateways = fc.array(fc.nat({ max: 6 }), { minLength: 1, maxLength: 5 });

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      milliseconds: fc.integer({ min: 20, max: 2500 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      milliseconds: fc.integer({ min: 6000, max: 9000 }),
    }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('configure' as const), through }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('read' as const), through }) },
  {
    weight: 14,
    arbitrary: fc.record({
      kind: fc.constant('configure-then' as const),
      through,
      laggards: fc.oneof(
        fc.constant([]),
        fc.array(fc.integer({ min: 1, max: 6 }), { minLength: 1, maxLength: 3 }),
      ),
      isLeaderSlow: fc.boolean(),
      fault: fc.oneof({ weight: 2, arbitrary: lostDisks }, { weight: 1, arbitrary: fault }),
    }),
  },
  { weight: 3, arbitrary: fault },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('roll' as const),
      intervalMilliseconds: fc.integer({ min: 200, max: 1500 }),
      drainMilliseconds: fc.constantFrom(0, 300, 1500),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: 'transfer-leadership' as const }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'add-host' as const }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('replace-host' as const),
      host,
      keepsName: fc.boolean(),
      keepsDisk: fc.boolean(),
      milliseconds: duration,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('reserve' as const), program, through: gateways }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('reserve-then' as const),
      program,
      through: gateways,
      laggards: fc.array(fc.nat({ max: 5 }), { maxLength: 2 }),
      fault: fc.oneof({ weight: 2, arbitrary: lostStores }, { weight: 1, arbitrary: fault }),
    }),
  },
);

/** Schedules of 2 to 14 actions. */
export const clusterSchedule: fc.Arbitrary<ClusterSchedule> = fc.record({
  seed: fc.integer({ min: 1, max: 2 ** 31 - 1 }),
  replicas: fc.constantFrom(5, 5, 6, 7),
  startsCalm: fc.boolean(),
  actions: fc.array(action, { minLength: 2, maxLength: 14, size: 'max' }),
});
