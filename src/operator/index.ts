export { runOperatorCommand } from './command';
export { OPERATOR_EXIT, type OperatorExit } from './exit';
