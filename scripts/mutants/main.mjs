// Takes each rule of rules.mjs out of the sources, one at a time, and runs the tests that should
// notice. Prints a row for each rule; fails if a rule's loss goes unnoticed or its text is not found.
// Run it in a checkout without other changes: `node scripts/mutants/main.mjs [TEXT...]` takes the rules
// whose text or file contains one of the arguments.
import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { RULES } from './rules.mjs';

const WORKERS = 2;

function chosenRules(texts) {
  if (texts.length === 0) return RULES;
  return RULES.filter(({ rule, file }) =>
    texts.some((text) => rule.includes(text) || file.includes(text)),
  );
}

/** Names of the failed suites; undefined if the tests could not run. */
function failedSuites(tests) {
  const jest = ['node_modules/jest/bin/jest.js', `--maxWorkers=${WORKERS}`, '--json', ...tests];
  const { stdout } = spawnSync(process.execPath, jest, {
    encoding: 'utf8',
    stdio: ['ignore', 'pipe', 'ignore'],
    maxBuffer: 256 * 1024 * 1024,
  });
  try {
    const { testResults } = JSON.parse(stdout);
    return testResults.flatMap(({ name, status }) =>
      status === 'failed' ? [name.replace(/^.*\/tests\//, '').replace('.test.ts', '')] : [],
    );
  } catch {
    return undefined;
  }
}

/** What became of a rule: the suites that failed, or why there are none. */
function tryWithout({ file, from, to, tests }) {
  const source = readFileSync(file, 'utf8');
  const count = source.split(from).length - 1;
  if (count !== 1)
    return { isNoticed: false, result: `its text stands ${count} times in the file` };
  try {
    writeFileSync(
      file,
      source.replace(from, () => to),
    );
    const failed = failedSuites(tests);
    if (failed === undefined) return { isNoticed: false, result: 'the tests did not run' };
    const isNoticed = failed.length > 0;
    return { isNoticed, result: isNoticed ? failed.join(', ') : 'NO TEST FAILS' };
  } finally {
    writeFileSync(file, source);
  }
}

const rules = chosenRules(process.argv.slice(2));
let unnoticed = 0;
for (const entry of rules) {
  const { isNoticed, result } = tryWithout(entry);
  if (!isNoticed) unnoticed += 1;
  console.log(`| ${entry.rule} | \`${entry.file}\` | ${result} |`);
}
console.log(`${rules.length} rules, ${unnoticed} unnoticed`);
process.exit(unnoticed === 0 ? 0 : 1);
