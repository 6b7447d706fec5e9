import type { Heartbeat, Load, NodeStatus, TargetRecord } from '../protocol';

interface Session {
  readonly heartbeat: Heartbeat;
  /** Monotonic time in milliseconds. */
  readonly heardAt: number;
}

interface VersionedTarget {
  readonly version: number;
  readonly record: TargetRecord;
}

const NO_LOAD: Load = { running: 0, waiting: 0 };

/**
 * The leader's view of entries and sidecars, from their heartbeats. It is kept in memory only: a
 * new leader hears from every live process within one heartbeat time, and counts a process it
 * has not heard from as live until a whole session time has passed since it took the lead.
 */
export class NodeRegistry {
  readonly #sessionMilliseconds: number;
  readonly #sessions = new Map<string, Session>();
  readonly #targets = new Map<string, VersionedTarget>();
  /** Key of the session that last spoke for a target. */
  readonly #speakers = new Map<string, string>();
  /** Targets whose hosts the platform lists as leaving. */
  readonly #leaving = new Set<string>();
  #version = 0;
  #leaderSince = 0;

  constructor(sessionMilliseconds: number) {
    this.#sessionMilliseconds = sessionMilliseconds;
  }

  /** Forgets everything: this member has just taken the lead. */
  reset(now: number): void {
    this.#sessions.clear();
    this.#targets.clear();
    this.#speakers.clear();
    this.#leaving.clear();
    this.#version = 0;
    this.#leaderSince = now;
  }

  get version(): number {
    return this.#version;
  }

  /** Notes a heartbeat; returns whether the directory of targets changed. */
  hear(heartbeat: Heartbeat, now: number): boolean {
    const key = keyOf(heartbeat.kind, heartbeat.name);
    this.#sessions.set(key, { heartbeat, heardAt: now });
    if (heartbeat.kind === 'entry' || heartbeat.target === undefined) return false;
    this.#speakers.set(heartbeat.target, key);
    return this.#putTarget({
      target: heartbeat.target,
      state: this.#leaving.has(heartbeat.target) ? 'leaving' : heartbeat.state,
      incarnation: heartbeat.incarnation,
      load: heartbeat.load ?? NO_LOAD,
    });
  }

  /**
   * Takes what the platform's list says: a target that leaves gets no new calls, also while its
   * sidecar does not know yet, until the list shows it live again. Returns whether anything changed.
   */
  hint(leaving: readonly string[], live: readonly string[]): boolean {
    for (const target of live) this.#leaving.delete(target);
    for (const target of leaving) this.#leaving.add(target);
    const changed = [...leaving, ...live].map((target) => this.#applyHint(target));
    return changed.includes(true);
  }

  #applyHint(target: string): boolean {
    const record = this.#targets.get(target)?.record;
    if (record === undefined || record.state === 'lost') return false;
    const told = this.#sessions.get(this.#speakers.get(target) ?? '')?.heartbeat.state;
    const state = this.#leaving.has(target) ? 'leaving' : (told ?? record.state);
    return this.#putTarget({ ...record, state });
  }

  /** Whether every live process has had the time to be heard since this member took the lead. */
  isComplete(now: number): boolean {
    return this.#graceOver(now);
  }

  /** Marks targets whose sidecars fell silent; returns whether any did. */
  expire(targets: readonly string[], now: number): boolean {
    if (!this.#graceOver(now)) return false;
    const silent = targets.filter((target) => !this.#targetHeard(target, now));
    const changed = silent.map((target) => {
      const known = this.#targets.get(target)?.record;
      const incarnation = known?.incarnation ?? '';
      return this.#putTarget({ target, state: 'lost', incarnation, load: NO_LOAD });
    });
    return changed.includes(true);
  }

  /** Targets whose records changed after `version`. */
  targetsSince(version: number): readonly TargetRecord[] {
    return [...this.#targets.values()]
      .filter((target) => target.version > version)
      .map((target) => target.record);
  }

  /** Whether an entry process, as name/incarnation, has surely ended or lost its session. */
  entryIsDead(identity: string, now: number): boolean {
    const [name = '', incarnation = ''] = identity.split('/');
    const session = this.#sessions.get(keyOf('entry', name));
    if (session === undefined) return this.#graceOver(now);
    if (session.heartbeat.incarnation !== incarnation) return true;
    return this.#silent(session, now);
  }

  /** All known processes, for status. */
  nodes(now: number): readonly NodeStatus[] {
    return [...this.#sessions.values()]
      .map((session) => {
        const { kind, name, state, configurationNumber, target, load } = session.heartbeat;
        const shown = this.#silent(session, now) ? 'lost' : state;
        return { kind, name, state: shown, configurationNumber, target, load } as const;
      })
      .sort((left, right) => (left.name < right.name ? -1 : 1));
  }

  #targetHeard(target: string, now: number): boolean {
    const session = this.#sessions.get(this.#speakers.get(target) ?? '');
    return session !== undefined && !this.#silent(session, now);
  }

  #silent(session: Session, now: number): boolean {
    return now - session.heardAt > this.#sessionMilliseconds;
  }

  #graceOver(now: number): boolean {
    return now - this.#leaderSince > this.#sessionMilliseconds;
  }

  #putTarget(record: TargetRecord): boolean {
    const known = this.#targets.get(record.target)?.record;
    if (known !== undefined && sameRecord(known, record)) return false;
    this.#version += 1;
    this.#targets.set(record.target, { version: this.#version, record });
    return true;
  }
}

function keyOf(kind: Heartbeat['kind'], name: string): string {
  return `${kind} ${name}`;
}

/** Loads count as equal within a factor of two, so that small changes cost no messages. */
function sameRecord(left: TargetRecord, right: TargetRecord): boolean {
  return (
    left.state === right.state &&
    left.incarnation === right.incarnation &&
    magnitude(left.load.running) === magnitude(right.load.running) &&
    magnitude(left.load.waiting) === magnitude(right.load.waiting)
  );
}

function magnitude(count: number): number {
  return Math.ceil(Math.log2(count + 1));
}
