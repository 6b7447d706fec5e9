// The record of a case: one JSON line for each event, in record.txt beside the case.
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

export class Record {
  #lines = [];
  #startedAt = Date.now();

  constructor(folder) {
    this.file = join(folder, 'record.txt');
  }

  note = (event, details = {}) => {
    this.#lines.push(JSON.stringify({ ms: Date.now() - this.#startedAt, event, ...details }));
  };

  write() {
    writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
  }
}

/** Runs a case; the process exits with 1 if its rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(folder, play) {
  const record = new Record(folder);
  const cleanUps = [];
  let code = 2;
  const limit = setTimeout(() => {
    record.note('not-run', { error: 'the case took longer than 115 s' });
    void finish();
  }, 115_000);
  const finish = async () => {
    clearTimeout(limit);
    for (const cleanUp of cleanUps.reverse()) await cleanUp();
    record.write();
    process.exit(code);
  };
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => void finish());
  try {
    const broken = await play({
      note: record.note,
      onEnd: (cleanUp) => cleanUps.push(cleanUp),
      hasTrouble: process.env.TROUBLE !== '0',
    });
    code = broken === undefined ? 0 : 1;
    record.note('verdict', { held: broken === undefined, broken });
    console.log(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
  } catch (error) {
    record.note('not-run', { error: String(error?.stack ?? error) });
    console.error(`the case could not run: ${error?.message}`);
  }
  await finish();
}
