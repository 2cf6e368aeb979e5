// Runs all tests below this folder. Failures of tests that KNOWN-RED.txt at the root lists are printed
// and tolerated. Any other failure fails the run, and so does a listed test that passes or was not run.
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';
import { objections, readKnownFailures } from './known-failures.js';

/** Fails a run that finds fewer tests, for example because the build has left out test files. */
const MIN_TESTS = 690;

const here = dirname(fileURLToPath(import.meta.url));
const list = join(here, '..', '..', 'KNOWN-RED.txt');
const known = existsSync(list) ? readKnownFailures(readFileSync(list, 'utf8')) : [];
const files = readdirSync(here, { recursive: true, encoding: 'utf8' })
  .filter((name) => name.endsWith('.test.js'))
  .map((name) => join(here, name))
  .sort();
const passed = new Set<string>();
const failed = new Set<string>();
let testCount = 0;
const count = (type: string | undefined): void => void (type === 'suite' || testCount++);
const stream = run({ files, concurrency: true });
stream.on('test:pass', ({ name, details }) => {
  count(details.type);
  passed.add(name);
});
stream.on('test:fail', ({ name, details }) => {
  count(details.type);
  failed.add(name);
});
stream.compose(tap).pipe(process.stdout);
stream.on('end', () => {
  for (const name of failed) passed.delete(name);
  for (const one of known)
    process.stdout.write(`# known red: ${one.test} (${one.cause}; issue ${one.issue})\n`);
  const problems = objections(known, passed, failed);
  if (testCount < MIN_TESTS) problems.push(`${testCount} tests were found, not ${MIN_TESTS}`);
  for (const one of problems) process.stdout.write(`# ${one}\n`);
  process.exitCode = problems.length > 0 ? 1 : 0;
});
