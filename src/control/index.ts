export { type ControlProcessOptions, createControlProcess } from './control-process';
