/** Reads the list of known failures (KNOWN-RED.txt), and compares it with a run of the tests. */

/** A test that is known to fail because of a fault that is not fixed yet. */
export interface KnownFailure {
  test: string;
  cause: string;
  issue: string;
}

/** The list may hold at most so many tests, so that faults are fixed instead of being listed. */
const MAX_KNOWN_FAILURES = 3;

/** Parses lines "test | cause | issue"; throws on a malformed line and on too many lines. */
export function readKnownFailures(text: string): KnownFailure[] {
  const known = text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map((line) => {
      const [test = '', cause = '', issue = '', ...more] = line.split('|').map((one) => one.trim());
      if (test === '' || cause === '' || issue === '' || more.length > 0) {
        throw new Error(`KNOWN-RED.txt: expected "test | cause | issue", got: ${line}`);
      }
      return { test, cause, issue };
    });
  if (known.length > MAX_KNOWN_FAILURES)
    throw new Error(`KNOWN-RED.txt: more than ${MAX_KNOWN_FAILURES} lines`);
  return known;
}

/** Returns why a run fails: tests that failed without being listed, and listed ones that did not fail. */
export function objections(
  known: readonly KnownFailure[],
  passed: ReadonlySet<string>,
  failed: ReadonlySet<string>,
): string[] {
  const names = new Set(known.map((one) => one.test));
  const found = [...failed].filter((test) => !names.has(test)).map((test) => `failed: ${test}`);
  for (const test of names) {
    if (failed.has(test)) continue;
    found.push(
      passed.has(test) ? `listed, but passes: ${test}` : `listed, but was not run: ${test}`,
    );
  }
  if (passed.size + failed.size === 0) found.push('no test was run');
  return found;
}
