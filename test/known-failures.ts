/** A test that is known to fail for a fault that is not mended yet. */
export interface KnownRed {
  test: string;
  cause: string;
  issue: string;
}

/** More than this many faults are not put off. */
const MOST = 3;

/** Lines "test | cause | issue"; throws where one is not, or there are too many. */
export function readKnownRed(text: string): KnownRed[] {
  const known = text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map((line) => {
      const [test = '', cause = '', issue = '', ...more] = line.split('|').map((one) => one.trim());
      if (test === '' || cause === '' || issue === '' || more.length > 0) {
        throw new Error(`KNOWN-RED.txt: not "test | cause | issue": ${line}`);
      }
      return { test, cause, issue };
    });
  if (known.length > MOST) throw new Error(`KNOWN-RED.txt: more than ${MOST} lines`);
  return known;
}

/** What speaks against a run: failures that are not known, known ones that passed or did not run. */
export function objections(
  known: readonly KnownRed[],
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
