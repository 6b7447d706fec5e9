/** Exit codes of the operators' command line. */
export const OPERATOR_EXIT = {
  done: 0,
  /** Something unforeseen. */
  failed: 1,
  /** The command line or the operators' files are not valid. */
  invalid: 2,
  /** The control hosts refused: the number is taken or too low. */
  refused: 3,
  /** No control host answered; whether an apply took effect is told by applying it again. */
  unavailable: 4,
  /** In force, but not yet at every live process. */
  lagging: 5,
  /** `diff` found differences. */
  different: 6,
} as const;

export type OperatorExit = (typeof OPERATOR_EXIT)[keyof typeof OPERATOR_EXIT];
