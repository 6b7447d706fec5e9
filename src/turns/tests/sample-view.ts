import type { StoreView } from '../../cluster';

/** Three stores in zones of their own, whose addresses are their names; two are a quorum. */
export const SAMPLE_VIEW: StoreView = {
  epoch: 1,
  members: ['a', 'b', 'c'].map((name) => ({
    name,
    address: name,
    availabilityZone: name,
    dataLife: name,
    joined: 1,
  })),
  quorum: 2,
};
