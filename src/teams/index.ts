export { type KeyedTeam, findSharedKeys } from './shared-keys';
export { TeamDirectory } from './directory';
export { type Credentials, type Identity, identify } from './identity';
export { type Quota, type Team, digestKey, teamScopedId } from './team';
