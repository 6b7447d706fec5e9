import { buildTrace, countCauses, readLog } from '..';

/** A log line; `at` is an offset in milliseconds. */
function line(host: string, at: number, fields: object): string {
  const time = new Date(1_700_000_000_000 + at).toISOString();
  return JSON.stringify({ level: 'info', time, host, ...fields });
}

function request(host: string, at: number, id: string, fields: object = {}): string {
  const head = { event: 'request', request: id, program: 'p', kind: 'stream' };
  return line(host, at, {
    ...head,
    outcome: 'answered',
    status: 200,
    milliseconds: 100,
    ...fields,
  });
}

describe('readLog', () => {
  it('ignores a prefix before a line, and counts lines that are no JSON', () => {
    const { lines, skipped } = readLog(`12.5 g1 ${request('g1', 0, 'r1')}\nnoise\n{"cut\n\n`);
    expect(lines.map((entry) => entry.request)).toEqual(['r1']);
    expect(skipped).toBe(2);
  });
});

describe('buildTrace for a program', () => {
  it('puts each turn after the one it continues although the clock of one host is behind', () => {
    const { lines } = readLog(
      [
        request('g2', -4000, 'r2', { previous: 'r1' }),
        request('g2', -3000, 'r4', { previous: 'r3' }),
        request('g1', 0, 'r1'),
        request('g1', 2000, 'r3', { previous: 'r2' }),
      ].join('\n'),
    );
    const trace = buildTrace(lines, 'p');
    expect(trace.kind).toBe('program');
    expect(trace.lines.map((entry) => entry.request)).toEqual(['r1', 'r2', 'r3', 'r4']);
  });

  it('is empty for an id that no line has', () => {
    expect(buildTrace([], 'nobody')).toEqual({ kind: 'unknown', lines: [] });
  });
});

describe('buildTrace for a request', () => {
  it('includes recent events of the same host with repeats collapsed, and no events of other hosts', () => {
    const { lines } = readLog(
      [
        line('g1', -9000, { event: 'peer-lost' }),
        line('g1', 2900, { event: 'quorum-missed', reason: 'first' }),
        line('g1', 2950, { event: 'quorum-missed', reason: 'second' }),
        line('g1', 3000, { event: 'stores-out-of-reach' }),
        line('g2', 3000, { event: 'peer-lost' }),
        request('g1', 4000, 'other'),
        request('g1', 5000, 'r1', { outcome: 'refused', status: 503, milliseconds: 1500 }),
        line('g1', 6000, { event: 'stores-reached' }),
      ].join('\n'),
    );
    const { kind, lines: traced } = buildTrace(lines, 'r1');
    expect(kind).toBe('request');
    expect(traced.map(({ event, repeated }) => [event, repeated])).toEqual([
      ['quorum-missed', 2],
      ['stores-out-of-reach', undefined],
      ['request', undefined],
    ]);
  });

  it('includes the end of a target under the request once', () => {
    const { lines } = readLog(
      [
        line('g1', 4000, { event: 'target-ended-under-request', request: 'r1', program: 'p' }),
        request('g1', 4010, 'r1', { outcome: 'refused', status: 502 }),
      ].join('\n'),
    );
    const { lines: traced } = buildTrace(lines, 'r1');
    expect(traced.map(({ event }) => event)).toEqual(['target-ended-under-request', 'request']);
  });
});

describe('countCauses', () => {
  const causesOf = (...rows: readonly string[]) => countCauses(readLog(rows.join('\n')).lines);

  it('omits programs that completed or whose budget was exhausted', () => {
    const exhausted = { outcome: 'refused', status: 402, code: 'budget_spent' };
    const table = causesOf(
      request('g1', 0, 'r1'),
      request('g1', 1, 'r2', { ...exhausted, program: 'q' }),
    );
    expect(table).toEqual({ programs: 2, causes: [], windows: [] });
  });

  it('reports a refusal of the last request, and no earlier one', () => {
    const refused = { outcome: 'refused', status: 503, code: 'turns_unavailable' };
    const table = causesOf(
      request('g1', 0, 'r1', refused),
      request('g1', 1, 'r2'),
      request('g1', 2, 'r3', { ...refused, program: 'q' }),
    );
    const cause = { cause: 'refused: turns_unavailable', programs: 1, share: 0.5 };
    expect(table.causes).toEqual([cause]);
  });

  it('reports the phase that took most of the time of a late program', () => {
    const late = { milliseconds: 3000, beganMilliseconds: 2800, programMilliseconds: 1000 };
    const table = causesOf(
      request('g1', 0, 'r1', { ...late, decisions: [{ step: 'prepare', milliseconds: 10 }] }),
    );
    const cause = { cause: 'late: time to first event', programs: 1, share: 0.7 };
    expect(table.causes).toEqual([cause]);
  });

  it('groups causes by start time of the program and weights them by its time limit', () => {
    const late = { milliseconds: 3000, beganMilliseconds: 2800 };
    const table = causesOf(
      request('g1', 100, 'r1', { programMilliseconds: 3000 }),
      request('g1', 8000, 'r2', { ...late, program: 'q', programMilliseconds: 1000 }),
    );
    const causes = [{ cause: 'late: time to first event', programs: 1, share: 0.175 }];
    expect(table).toEqual({ programs: 2, causes, windows: [{ from: 4, programs: 1, causes }] });
  });
});
