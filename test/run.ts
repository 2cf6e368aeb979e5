// Runs all tests below this folder. Those listed in KNOWN-RED.txt at the root are passed over and
// printed; any other failure fails the run, and so does a listed test that passes by now.
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';
import { objections, readKnownRed } from './known-failures.js';

/** Tests that there were when this was last raised: a run that finds fewer has lost some on the way. */
const LEAST_TESTS = 550;

const here = dirname(fileURLToPath(import.meta.url));
const list = join(here, '..', '..', 'KNOWN-RED.txt');
const known = existsSync(list) ? readKnownRed(readFileSync(list, 'utf8')) : [];
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
  const against = objections(known, passed, failed);
  if (testCount < LEAST_TESTS) against.push(`${testCount} tests were found, not ${LEAST_TESTS}`);
  for (const one of against) process.stdout.write(`# ${one}\n`);
  process.exitCode = against.length > 0 ? 1 : 0;
});
