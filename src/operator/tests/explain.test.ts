import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { OPERATOR_EXIT_CODES } from '..';
import { explain } from '../explain';

const LINES = [
  '{"time":"2026-01-01T00:00:01.000Z","host":"g1","event":"stores-out-of-reach","epoch":3}',
  '{"time":"2026-01-01T00:00:02.000Z","host":"g1","event":"request","request":"r1","program":"p1",' +
    '"outcome":"refused","status":503,"code":"turns_unavailable","milliseconds":45}',
];

describe('martenbay explain', () => {
  const folder = mkdtempSync(join(tmpdir(), 'martenbay-explain-'));
  const file = join(folder, 'g1.log');
  const printed: string[] = [];

  beforeAll(() => {
    writeFileSync(file, LINES.join('\n'));
    for (const stream of [process.stdout, process.stderr]) {
      jest.spyOn(stream, 'write').mockImplementation((text) => printed.push(String(text)) > 0);
    }
  });

  afterAll(() => {
    jest.restoreAllMocks();
    rmSync(folder, { recursive: true });
  });

  it('prints the lines about a request as a table', () => {
    expect(explain('r1', [file], 'table')).toBe(OPERATOR_EXIT_CODES.done);
    expect(printed.splice(0).join('')).toMatchSnapshot();
  });

  it('fails with a message if no line has the id', () => {
    expect(explain('r2', [file], 'table')).toBe(OPERATOR_EXIT_CODES.failed);
    expect(printed.splice(0).join('').replace(folder, '')).toBe(
      'no line of /g1.log has the id r2; pass the log files of all hosts\n',
    );
  });

  it('throws an error for a missing file', () => {
    expect(() => explain('r1', [join(folder, 'none.log')], 'table')).toThrow("can't be read");
  });
});
