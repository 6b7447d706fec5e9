export { type SidecarProcessOptions, createSidecarProcess } from './process';
