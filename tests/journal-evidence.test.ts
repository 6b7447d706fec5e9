import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import * as z from 'zod';

const ROOT = join(__dirname, '..');

/** How an entry of the journal is cited: its id, eight digits in base 16. */
const CITATION = /\b[0-9a-f]{8}\b/g;

/** The part of an entry that tells whether its run ended and holds what it measured. */
const entrySchema = z.object({
  id: z.string(),
  error: z.string().nullish(),
  days: z.array(z.unknown()).nullish(),
});

type Entry = z.output<typeof entrySchema>;

/** Words with which an entry says that it was written before its run had ended. */
const UNFINISHED = 'the run did not finish';

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

/** Why an id can't stand for a figure; nothing if it can. */
function findFault(entry: Entry | undefined): string | undefined {
  if (entry === undefined) return 'has no entry in the journal';
  if (entry.error === UNFINISHED) return 'was committed before its run had ended';
  if ((entry.days ?? []).length === 0) return 'holds no day';
  return undefined;
}

describe('journal entries that pages cite', () => {
  const entries = readEntries();

  it.each(listPages())('%s cites only runs that ended and hold their days', (page) => {
    const text = readFileSync(join(ROOT, page), 'utf8');
    const faults = [...new Set(text.match(CITATION) ?? [])].flatMap((id) => {
      const fault = findFault(entries.get(id));
      return fault === undefined ? [] : [`${id} ${fault}`];
    });
    expect(faults).toEqual([]);
  });
});
