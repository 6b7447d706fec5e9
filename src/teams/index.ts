export { type KeyedTeam, findSharedKeys } from './check';
export { TeamDirectory } from './directory';
export { type Credentials, type Identity, identify } from './identity';
export { type Quota, type Team, digestKey, idWithinTeam } from './team';
