import type { Dispatcher } from 'undici';
import type { TargetConnection } from '../../targets';
import type { WireFormat } from '../wire-format';

const SERVER_BUSY_STATUS = 503;

/** Header of an answer which says that the target did not run the request. */
const NOT_RUN_HEADER = 'not-run';

/** Reads the answers of scripted targets. */
export const SCRIPTED_WIRE: WireFormat = {
  readRequest: () => {
    throw new Error('scripted requests are not read from the wire');
  },
  readResponse: (headers) => ({
    requestId: undefined,
    isSigned: true,
    isNotRun: headers[NOT_RUN_HEADER] !== undefined,
    isEncoded: false,
  }),
  buildTargetHeaders: () => [],
};

export interface ScriptedTargetOptions {
  readonly answer: 'event stream' | 'not run' | 'reset';
  /** Returns whether the connection stays in the opening state. */
  readonly onOpening: () => boolean;
  readonly onSent: () => void;
  /** Called while an event stream arrives. */
  readonly onAnswer: () => void;
  /** Called when the connection returns to its pool or is closed, before the attempt has ended. */
  readonly onEnd: () => void;
}

/** A connection to a target that takes one request and answers it at once. */
export function connectToScriptedTarget(options: ScriptedTargetOptions): TargetConnection {
  const { answer, onOpening, onSent, onAnswer, onEnd } = options;
  return {
    dispatch: (_options, handler) => {
      if (onOpening()) return;
      const controller = {
        abort: () => undefined,
        rawHeaders: [],
      } as unknown as Dispatcher.DispatchController;
      handler.onRequestStart?.(controller, {});
      onSent();
      if (answer === 'reset') {
        handler.onResponseError?.(controller, new Error('connection reset'));
        return;
      }
      if (answer === 'not run') {
        handler.onResponseStart?.(controller, SERVER_BUSY_STATUS, { [NOT_RUN_HEADER]: '1' });
      } else {
        handler.onResponseStart?.(controller, 200, {});
        handler.onResponseData?.(controller, Buffer.from('data: one\n\n'));
        onAnswer();
      }
      handler.onResponseEnd?.(controller, {});
    },
    ending: () => 'open',
    beforePause: () => undefined,
    resume: (resume: () => void) => {
      resume();
    },
    release: onEnd,
    discard: onEnd,
  };
}
