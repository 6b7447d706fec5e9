import type { Command, EndProgram, Tables } from '../state';

/**
 * Lists the programs that are to end now: those past their deadline, and those that were silent
 * for their idle time with no step under way. `now` is wall time in milliseconds.
 */
export function findExpired(tables: Tables, now: number): readonly EndProgram[] {
  return [...tables.programs.values()].flatMap((program): readonly EndProgram[] => {
    if (program.endReason !== undefined) return [];
    if (now >= program.deadlineAt) return [{ program: program.id, reason: 'deadline' }];
    const running = [...program.steps.values()].some((step) => step.state === 'running');
    const waitsForChild = (tables.children.get(program.id)?.size ?? 0) > 0;
    const silent = now - program.lastActivityAt >= program.idleMilliseconds;
    return silent && !running && !waitsForChild ? [{ program: program.id, reason: 'idle' }] : [];
  });
}

/** Programs dropped by one command, at most. */
const FORGET_BATCH = 256;

/** Lists ended programs whose answers no resend can ask for any more. */
export function findForgettable(
  tables: Tables,
  now: number,
  retentionMilliseconds: number,
): readonly string[] {
  const forgettable: string[] = [];
  for (const program of tables.programs.values()) {
    const age = now - (program.endedAt ?? now);
    if (program.endReason !== undefined && age > retentionMilliseconds) {
      forgettable.push(program.id);
    }
    if (forgettable.length === FORGET_BATCH) break;
  }
  return forgettable;
}

/** Commands that end what has expired and drop what ended long ago; times in milliseconds. */
export function sweepCommands(
  tables: Tables,
  now: number,
  retentionMilliseconds: number,
): readonly Command[] {
  const ends = findExpired(tables, now).map((input): Command => ({
    kind: 'end-program',
    at: now,
    input,
  }));
  const programs = findForgettable(tables, now, retentionMilliseconds);
  if (programs.length === 0) return ends;
  return [...ends, { kind: 'forget-programs', at: now, programs }];
}
