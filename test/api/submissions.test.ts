/** Validation of submissions: which are malformed, and which jobs can never run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { reasonNeverRunnable } from '../../src/coordination/api/admission.js';
import { parseSubmission } from '../../src/protocol/user-codec.js';
import { parseJson } from '../../src/protocol/validation.js';
import { TEAMS, TYPES } from '../world/settings.js';

const good = {
  ref: 'j-000412',
  lane: 'train',
  crew: 'red',
  shape: 'sweep',
  rank: 'urgent',
  larvae: 16,
  cores: 1.0,
  gpus: 0.0,
  memGb: 4.0,
  cocoon: 'img-07',
  imageGb: 6.2,
  breeds: null,
  grove: null,
  samePlace: true,
  apart: false,
  windfall: true,
  guessS: 240.0,
  moltS: 30.0,
  spinS: 4.0,
  duskS: 900.0,
};

test('submissions: a malformed one is rejected with an error that names the field', () => {
  const cases: [string, Record<string, unknown> | string, string | null][] = [
    ['as it should be', good, null],
    ['unknown fields', { ...good, more: 1 }, null],
    ['nullable fields left out', { ...good, breeds: undefined, grove: undefined }, null],
    ['no JSON', '{', 'body'],
    ['a list', '[]', 'body'],
    ['bad id', { ...good, ref: 'x' }, 'ref'],
    ['no team', { ...good, crew: undefined }, 'crew'],
    ['a gang', { ...good, shape: 'group' }, null],
    ['unknown shape', { ...good, shape: 'bundle' }, 'shape'],
    ['no tasks', { ...good, larvae: 0 }, 'larvae'],
    ['too many tasks', { ...good, larvae: 100_001 }, 'larvae'],
    ['half a task', { ...good, larvae: 1.5 }, 'larvae'],
    ['text for a number', { ...good, cores: '8' }, 'cores'],
    ['negative memory', { ...good, memGb: -1 }, 'memGb'],
    // Users send every field that may not be null. A submission that lacks one is rejected, because
    // its job would not be the one that the user meant.
    ...Object.keys(good)
      .filter((field) => !['breeds', 'grove', 'duskS'].includes(field))
      .map((field): [string, Record<string, unknown>, string] => [
        `no ${field}`,
        { ...good, [field]: undefined },
        field,
      ]),
    ['null for a yes or no', { ...good, windfall: null }, 'windfall'],
  ];
  for (const [name, body, field] of cases) {
    const json = parseJson(typeof body === 'string' ? body : JSON.stringify(body));
    const parsed = json.ok ? parseSubmission(json.value) : json;
    if (field === null) assert.ok(parsed.ok, name);
    else assert.ok(!parsed.ok && parsed.error.startsWith(`${field}:`), name);
  }
  assert.ok(!parseJson(null).ok);
});

test('admission: a job that can never run gets a reason that names the field, others get none', () => {
  const parsed = parseSubmission(good);
  assert.ok(parsed.ok);
  const spec = parsed.value;
  const cases: [Partial<typeof spec>, RegExp | null][] = [
    [{}, null],
    [{ team: 'green' }, /^crew/],
    [{ cpus: 5 }, /^larvae/],
    [{ memoryGb: 17 }, /^larvae/],
    [{ zone: 'c' }, /^larvae/],
    [{ types: ['huge'] }, /^larvae/],
    [{ kind: 'service', tasks: 20 }, /^cores/],
    [{ kind: 'array', tasks: 20 }, null],
    [{ gpus: 1 }, /^cores/],
  ];
  for (const [change, reason] of cases) {
    const result = reasonNeverRunnable({ ...spec, ...change }, TEAMS, TYPES);
    if (reason === null) assert.equal(result, null, JSON.stringify(change));
    else assert.match(String(result), reason);
  }
  assert.equal(reasonNeverRunnable(spec, TEAMS, null), 'unknown');
});
