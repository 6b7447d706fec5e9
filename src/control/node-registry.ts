import type { Heartbeat, Load, NodeStatus, TargetRecord } from '../protocol';

interface Session {
  readonly heartbeat: Heartbeat;
  /** Monotonic time in milliseconds. */
  readonly receivedAt: number;
}

interface VersionedTarget {
  readonly version: number;
  readonly record: TargetRecord;
}

const NO_LOAD: Load = { running: 0, waiting: 0 };

/**
 * Sessions of entries and sidecars, built from their heartbeats on the leader of the configuration
 * group. Kept in memory only: a new leader receives a heartbeat from every live process within one
 * heartbeat interval. During a grace period of one session timeout after its election it treats
 * processes without a session as live.
 */
export class NodeRegistry {
  readonly #sessionMilliseconds: number;
  readonly #sessions = new Map<string, Session>();
  readonly #targets = new Map<string, VersionedTarget>();
  /** Key of the session that last sent a heartbeat for a target. */
  readonly #reporterKeys = new Map<string, string>();
  /** Targets on hosts that the platform lists as leaving. */
  readonly #drainingTargets = new Set<string>();
  #version = 0;
  #leaderSince = 0;

  constructor(sessionMilliseconds: number) {
    this.#sessionMilliseconds = sessionMilliseconds;
  }

  /** Called when this member becomes the leader; `now` is monotonic time in milliseconds. */
  reset(now: number): void {
    this.#sessions.clear();
    this.#targets.clear();
    this.#reporterKeys.clear();
    this.#drainingTargets.clear();
    this.#version = 0;
    this.#leaderSince = now;
  }

  get version(): number {
    return this.#version;
  }

  /**
   * Returns whether the directory of targets changed. `now` is monotonic time and `wallTime` wall
   * time, in milliseconds.
   */
  recordHeartbeat(heartbeat: Heartbeat, now: number, wallTime?: number): boolean {
    const key = keyOf(heartbeat.kind, heartbeat.name);
    this.#sessions.set(key, { heartbeat, receivedAt: now });
    if (heartbeat.kind === 'entry' || heartbeat.target === undefined) return false;
    this.#reporterKeys.set(heartbeat.target, key);
    return this.#putTarget({
      target: heartbeat.target,
      state: this.#drainingTargets.has(heartbeat.target) ? 'leaving' : heartbeat.state,
      incarnation: heartbeat.incarnation,
      load: heartbeat.load ?? NO_LOAD,
      loadReceivedAt: wallTime,
    });
  }

  /**
   * Applies the platform's host list. A target on a leaving host is marked `leaving` even if its
   * sidecar still reports `serving`, until the list shows the host as live again. Returns whether
   * the directory of targets changed.
   */
  applyHostList(draining: readonly string[], live: readonly string[]): boolean {
    for (const target of live) this.#drainingTargets.delete(target);
    for (const target of draining) this.#drainingTargets.add(target);
    const changed = [...draining, ...live].map((target) => this.#refreshTargetState(target));
    return changed.includes(true);
  }

  #refreshTargetState(target: string): boolean {
    const record = this.#targets.get(target)?.record;
    if (record === undefined || record.state === 'lost') return false;
    const reported = this.#sessions.get(this.#reporterKeys.get(target) ?? '')?.heartbeat.state;
    const state = this.#drainingTargets.has(target) ? 'leaving' : (reported ?? record.state);
    return this.#putTarget({ ...record, state });
  }

  /** Whether every live process has had time to send a heartbeat to this leader. */
  isComplete(now: number): boolean {
    return this.#isGracePeriodOver(now);
  }

  /** Marks those of `targets` without a live session as lost; returns whether any state changed. */
  markLost(targets: readonly string[], now: number): boolean {
    if (!this.#isGracePeriodOver(now)) return false;
    const expired = targets.filter((target) => !this.#hasLiveSession(target, now));
    const changed = expired.map((target) => {
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

  /**
   * Whether an entry process, as name/incarnation, was restarted or has no live session. False for
   * an unknown process during the grace period.
   */
  isEntryDead(identity: string, now: number): boolean {
    const [name = '', incarnation = ''] = identity.split('/');
    const session = this.#sessions.get(keyOf('entry', name));
    if (session === undefined) return this.#isGracePeriodOver(now);
    if (session.heartbeat.incarnation !== incarnation) return true;
    return this.#isExpired(session, now);
  }

  /** All known processes by name. */
  nodes(now: number): readonly NodeStatus[] {
    return [...this.#sessions.values()]
      .map((session) => {
        const { kind, name, state, configurationNumber, target, load } = session.heartbeat;
        const shown = this.#isExpired(session, now) ? 'lost' : state;
        return { kind, name, state: shown, configurationNumber, target, load } as const;
      })
      .sort((left, right) => (left.name < right.name ? -1 : 1));
  }

  #hasLiveSession(target: string, now: number): boolean {
    const session = this.#sessions.get(this.#reporterKeys.get(target) ?? '');
    return session !== undefined && !this.#isExpired(session, now);
  }

  #isExpired(session: Session, now: number): boolean {
    return now - session.receivedAt > this.#sessionMilliseconds;
  }

  #isGracePeriodOver(now: number): boolean {
    return now - this.#leaderSince > this.#sessionMilliseconds;
  }

  #putTarget(record: TargetRecord): boolean {
    const known = this.#targets.get(record.target)?.record;
    if (known !== undefined && isEquivalent(known, record)) return false;
    this.#version += 1;
    this.#targets.set(record.target, { version: this.#version, record });
    return true;
  }
}

function keyOf(kind: Heartbeat['kind'], name: string): string {
  return `${kind} ${name}`;
}

/** Compares loads by power of two, so that small changes are not published. */
function isEquivalent(left: TargetRecord, right: TargetRecord): boolean {
  return (
    left.state === right.state &&
    left.incarnation === right.incarnation &&
    loadMagnitude(left.load.running) === loadMagnitude(right.load.running) &&
    loadMagnitude(left.load.waiting) === loadMagnitude(right.load.waiting)
  );
}

function loadMagnitude(count: number): number {
  return Math.ceil(Math.log2(count + 1));
}
