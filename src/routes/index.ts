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
export { RouteTable, pickService } from './route-table';
