export { validateRouteConfiguration } from './validation';
export type {
  CallerLimits,
  EngineSettings,
  RequestKind,
  Route,
  RouteConfiguration,
  RouteService,
  Service,
} from './configuration';
export { canonicalHostName } from './host-name';
export { RouteTable, pickService } from './route-table';
