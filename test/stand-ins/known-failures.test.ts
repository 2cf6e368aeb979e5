/**
 * The list of known failures. Guards against a run that passes although a test fails that is not
 * listed, or although a listed test passes or was not run.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { objections, readKnownFailures } from '../known-failures.js';

test('a run passes if exactly the listed tests fail', () => {
  const line = 'a | slow store | 13';
  const cases: [string, string, string[], string[], RegExp | null][] = [
    ['all pass, no list', '', ['a', 'b'], [], null],
    ['one fails, no list', '', ['a'], ['b'], /^failed: b$/],
    ['a listed one fails', line, ['b'], ['a'], null],
    ['another fails beside it', line, [], ['a', 'b'], /^failed: b$/],
    ['a listed one passes', line, ['a', 'b'], [], /passes: a$/],
    ['a listed one was not run', line, ['b'], [], /not run: a$/],
    ['nothing was run', '', [], [], /^no test/],
  ];
  for (const [name, list, passed, failed, objection] of cases) {
    const found = objections(readKnownFailures(list), new Set(passed), new Set(failed));
    if (objection === null) assert.deepEqual(found, [], name);
    else assert.match(found.join(), objection, name);
  }
  assert.throws(() => readKnownFailures('a test without a cause'));
  assert.throws(() => readKnownFailures(Array(4).fill(line).join('\n')));
});
