import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { OPERATOR_EXIT } from '..';
import { explain } from '../explain';

const LINES = [
  '{"time":"2026-01-01T00:00:01.000Z","host":"g1","event":"stores-out-of-reach","epoch":3}',
  '{"time":"2026-01-01T00:00:02.000Z","host":"g1","event":"request","request":"r1","program":"p1",' +
    '"outcome":"refused","status":503,"code":"turns_unavailable","milliseconds":45}',
];

describe('the command that explains a request', () => {
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

  it('prints what happened, in a table', () => {
    expect(explain('r1', [file], 'table')).toBe(OPERATOR_EXIT.done);
    expect(printed.splice(0).join('')).toMatchSnapshot();
  });

  it('says what to do where no line names the id', () => {
    expect(explain('r2', [file], 'table')).toBe(OPERATOR_EXIT.failed);
    expect(printed.splice(0).join('').replace(folder, '')).toBe(
      'no line of /g1.log names r2; give the logs of all hosts\n',
    );
  });

  it('names a file that is not there', () => {
    expect(() => explain('r1', [join(folder, 'none.log')], 'table')).toThrow("can't be read");
  });
});
