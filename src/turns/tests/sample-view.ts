import type { StoreView } from '../../cluster';

/** Three stores, each in its own availability zone, with its name as its address. */
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
