import type { Command, EndProgram, ProgramTables } from '../state';

/**
 * Finds live programs that are past their deadline, or past their idle timeout with neither a
 * running step nor a live child. `now` is wall time in milliseconds.
 */
export function findExpired(tables: ProgramTables, now: number): readonly EndProgram[] {
  return [...tables.programs.values()].flatMap((program): readonly EndProgram[] => {
    if (program.endReason !== undefined) return [];
    if (now >= program.deadlineAt) return [{ program: program.id, reason: 'deadline' }];
    const running = [...program.steps.values()].some((step) => step.state === 'running');
    const hasLiveChild = (tables.children.get(program.id)?.size ?? 0) > 0;
    const idle = now - program.lastActivityAt >= program.idleMilliseconds;
    return idle && !running && !hasLiveChild ? [{ program: program.id, reason: 'idle' }] : [];
  });
}

/** Maximum number of programs that one command purges. */
const PURGE_BATCH_SIZE = 256;

/**
 * Finds programs that ended more than `retentionMilliseconds` ago, so that their answers are no
 * longer replayed to repeated requests; at most {@link PURGE_BATCH_SIZE}.
 */
export function findPurgeable(
  tables: ProgramTables,
  now: number,
  retentionMilliseconds: number,
): readonly string[] {
  const purgeable: string[] = [];
  for (const program of tables.programs.values()) {
    const age = now - (program.endedAt ?? now);
    if (program.endReason !== undefined && age > retentionMilliseconds) {
      purgeable.push(program.id);
    }
    if (purgeable.length === PURGE_BATCH_SIZE) break;
  }
  return purgeable;
}

/**
 * Commands that end expired programs, and purge ended ones after the retention period. `now` is
 * wall time in milliseconds.
 */
export function sweepCommands(
  tables: ProgramTables,
  now: number,
  retentionMilliseconds: number,
): readonly Command[] {
  const ends = findExpired(tables, now).map((input): Command => ({
    kind: 'end-program',
    at: now,
    input,
  }));
  const programs = findPurgeable(tables, now, retentionMilliseconds);
  if (programs.length === 0) return ends;
  return [...ends, { kind: 'forget-programs', at: now, programs }];
}
