// Runs one case: writes record.txt, ends with 1 if the rule was broken, 0 if it held, 2 if it
// couldn't run.
import { createWriteStream } from 'node:fs';
import { join } from 'node:path';

const LIMIT_MS = 118_000;

export const trouble = process.env.TROUBLE !== '0';

export async function runCase(folder, play) {
  const file = createWriteStream(join(folder, 'record.txt'));
  const startedAt = performance.now();
  const record = (entry) => {
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
    file.write(`${seconds} ${JSON.stringify(entry)}\n`);
  };
  const cleanups = [];
  const onEnd = (action) => cleanups.unshift(action);
  let status = 2;
  let timer;
  const limit = new Promise((_resolve, reject) => {
    timer = setTimeout(() => reject(new Error('the case took too long')), LIMIT_MS);
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.once(signal, () => reject(new Error(`ended by ${signal}`)));
    }
  });
  try {
    record({ event: 'case', trouble });
    const { broken, summary } = await Promise.race([play({ record, onEnd }), limit]);
    record({ event: 'verdict', broken, ...summary });
    process.stdout.write(`${JSON.stringify({ broken, ...summary })}\n`);
    status = broken ? 1 : 0;
  } catch (error) {
    record({ event: 'could-not-run', error: String(error?.stack ?? error) });
    process.stderr.write(`could not run: ${String(error?.stack ?? error)}\n`);
  }
  clearTimeout(timer);
  for (const action of cleanups) {
    try {
      await action();
    } catch (error) {
      process.stderr.write(`clean-up: ${String(error)}\n`);
    }
  }
  await new Promise((resolve) => file.end(resolve));
  process.exit(status);
}
