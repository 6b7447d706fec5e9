export { runOperatorCommand } from './command';
export { OPERATOR_EXIT_CODES, type OperatorExitCode } from './exit-codes';
