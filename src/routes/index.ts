export { checkRouteConfiguration } from './check';
export type {
  CallerLimits,
  EngineSettings,
  RequestKind,
  Route,
  RouteConfiguration,
  RouteService,
  Service,
} from './configuration';
export { RouteTable, pickService } from './table';
