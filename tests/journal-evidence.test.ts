import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import * as z from 'zod';

const ROOT = join(__dirname, '..');

/** Pages cite a journal entry by its id of eight hexadecimal digits. */
const ENTRY_ID = /\b[0-9a-f]{8}\b/g;

const entrySchema = z.object({
  id: z.string(),
  error: z.string().nullish(),
  days: z.array(z.unknown()).nullish(),
});

type Entry = z.output<typeof entrySchema>;

/** Value of `error` in an entry that was written before its run ended. */
const UNFINISHED_ERROR = 'the run did not finish';

function readEntries(): ReadonlyMap<string, Entry> {
  const folder = join(ROOT, 'journal');
  const files = readdirSync(folder).filter((name) => name.endsWith('.json'));
  const entries = files.map((name) =>
    entrySchema.parse(JSON.parse(readFileSync(join(folder, name), 'utf8'))),
  );
  return new Map(entries.map((entry) => [entry.id, entry]));
}

function listPages(): readonly string[] {
  const inDocs = readdirSync(join(ROOT, 'docs'), { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.md'))
    .map((name) => join('docs', name));
  return ['README.md', 'DEVELOPERS.md', ...inDocs];
}

/** Why a cited entry is not valid evidence; undefined if it is. */
function findProblem(entry: Entry | undefined): string | undefined {
  if (entry === undefined) return 'has no journal entry';
  if (entry.error === UNFINISHED_ERROR) return 'was written before its run ended';
  if ((entry.days ?? []).length === 0) return 'contains no days';
  return undefined;
}

describe('journal entries that pages cite', () => {
  const entries = readEntries();

  it.each(listPages())('%s cites only entries whose runs ended and that contain days', (page) => {
    const text = readFileSync(join(ROOT, page), 'utf8');
    const problems = [...new Set(text.match(ENTRY_ID) ?? [])].flatMap((id) => {
      const problem = findProblem(entries.get(id));
      return problem === undefined ? [] : [`${id} ${problem}`];
    });
    expect(problems).toEqual([]);
  });
});
