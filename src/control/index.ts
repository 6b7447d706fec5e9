export { type ControlProcessOptions, createControlProcess } from './process';
