/** Exit codes of the `martenbay` command. */
export const OPERATOR_EXIT_CODES = {
  done: 0,
  /** Unexpected error. */
  failed: 1,
  /** The command line or the configuration files are not valid. */
  invalid: 2,
  /** The credential was rejected, or the configuration number is taken or too low. */
  refused: 3,
  /** No control host responded. An `apply` may have taken effect; repeating it is safe. */
  unavailable: 4,
  /** Accepted, but not yet active in every live process. */
  lagging: 5,
  /** `diff` found differences. */
  different: 6,
} as const;

export type OperatorExitCode = (typeof OPERATOR_EXIT_CODES)[keyof typeof OPERATOR_EXIT_CODES];
