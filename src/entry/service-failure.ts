import { messageOf } from '../core';
import type { EntryContext } from './context';
import { requireGroup } from './program-ids';
import { Refusal, stoppingRefusal } from './refusal';
import { StoppingError } from './request-stop';
import type { ServiceCall } from './service-call';
import { CallError } from './sidecar-client';
import { abandonStep } from './step';

/**
 * Closes a step after its last attempt failed. A step that did not run or is repeatable can begin
 * again; otherwise its outcome is recorded as unknown, so that it never runs again.
 */
export async function closeFailedStep(
  context: EntryContext,
  call: ServiceCall,
  sequence: number,
  attempt: string,
  error: unknown,
): Promise<void> {
  const provenNotRun = error instanceof CallError && error.notRun;
  if (provenNotRun || call.repeatable) {
    await abandonStep(context, abandonInput(call, sequence, attempt));
    return;
  }
  // The target runs the call to its end; an entry that is asked again settles it with the sidecar.
  if (context.stop.signal.aborted) return;
  const { program } = call;
  await context.control
    .call(
      (connection, signal) =>
        connection.steps.resolve.mutate(
          { program, sequence, attempt, finding: { kind: 'unknown' } },
          { signal },
        ),
      { group: requireGroup(program) },
    )
    .catch((cause: unknown) => {
      context.logger.warn({ event: 'resolve-failed', program, sequence, cause: messageOf(cause) });
    });
}

/** Input that lets a step begin again, with nothing charged. */
export function abandonInput(call: ServiceCall, sequence: number, attempt: string) {
  return { program: call.program, sequence, attempt, spent: false, holders: [] };
}

export function toCallRefusal(error: unknown, call: ServiceCall, signal: AbortSignal): Refusal {
  const isStopping = signal.reason instanceof StoppingError;
  // A stop that keeps an answer from being stored does not know whether its call may be repeated.
  const isUnstored =
    isStopping &&
    error instanceof Refusal &&
    error.code === 'stopping' &&
    error.outcome === 'unknown';
  if (error instanceof Refusal && !isUnstored) return error;
  const provenNotRun = error instanceof CallError && error.notRun;
  if (isStopping) {
    return stoppingRefusal(
      provenNotRun ? 'not-run' : 'unknown',
      error,
      provenNotRun || call.repeatable ? 503 : 504,
    );
  }
  const message = `"${call.service.name}" gave no answer: ${messageOf(error)}`;
  return new Refusal({
    status: provenNotRun ? 503 : 502,
    code: provenNotRun ? 'no-target' : 'target-failed',
    message,
    outcome: provenNotRun ? 'not-run' : 'unknown',
    cause: error,
  });
}
