/**
 * `mothbank detections`, which reads logs and exports and writes a report. Guards against records that
 * are lost, counted twice or inserted as markup, and against unreadable files that are not reported.
 */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { gzipSync } from 'node:zlib';
import { probeQuantiles, readHistories } from '@mothbank/detection-report';
import { worldWithFailureDetection } from '../world/failure-detection-case.js';

const CLI = join(dirname(fileURLToPath(import.meta.url)), '..', '..', 'src', 'cli.js');
const folder = mkdtempSync(join(tmpdir(), 'mothbank-'));
const path = (name: string): string => join(folder, name);
const write = (name: string, content: string | Buffer): string => {
  writeFileSync(path(name), content);
  return path(name);
};
const run = (...args: string[]): { status: number | null; stderr: string; stdout: string } =>
  spawnSync(process.execPath, [CLI, 'detections', ...args], { encoding: 'utf8', cwd: folder });

/** The histories of three controllers, one of which was paused until its lease had expired. */
async function histories(): Promise<string[]> {
  const { world } = await worldWithFailureDetection(1);
  world.pause(world.leader, 12);
  await world.run(60);
  return [...world.nodes.values()].map(({ node }) => node.detection?.export() ?? '');
}

test('detections: logs and exports of several controllers give one self-contained report', async () => {
  const [first = '', second = '', third = ''] = await histories();
  const log = `${'{"level":30,"msg":"started"}\n'}not JSON\n${first}`;
  const files = [write('n0.log', log), write('n1.gz', gzipSync(second)), write('n2', third)];
  const { status, stderr } = run('--out', path('r.html'), '--export', path('all.gz'), ...files);
  assert.equal(stderr, '');
  assert.equal(status, 0);
  const html = readFileSync(path('r.html'), 'utf8');
  assert.equal(html.match(/<figure [^>]*class="plot-/g)?.length, 3);
  assert.doesNotMatch(html, /<(script|link)|(src|href)="http/);
  for (const text of ['n0 &gt; n1', 'failure confirmed by a quorum', 'refuted', 'p99, ms']) {
    assert.ok(html.includes(text), text);
  }
  // The export contains all records, and a record that is in two files is counted once.
  const exported = readHistories([path('all.gz')]);
  assert.deepEqual(readHistories([...files, path('all.gz')]), exported);
  assert.deepEqual(exported, readHistories(files));
});

test('detections: a file that is faulty is reported, and the other files are read', async () => {
  const [good = ''] = await histories();
  const [line = ''] = good.split('\n');
  const whole = gzipSync(good);
  const rows: [string, string, RegExp][] = [
    ['missing', path('missing'), /missing: ENOENT/],
    ['cut off', write('cut.log', `${line}\n${line.slice(0, 40)}`), /cut\.log: .*read: 2/],
    [
      'cut off archive',
      write('cut.gz', whole.subarray(0, whole.length / 2)),
      /cut\.gz: unexpected/,
    ],
    ['odd fields', write('odd', '{"detection":{"type":"transition"}}'), /odd: .*read: 1/],
    ['a list', write('list', '{"detection":[]}\n{}\n'), /list: .*read: 1\n/],
  ];
  const file = write('good.log', good);
  for (const [name, faulty, message] of rows) {
    const { status, stderr, stdout } = run('--out', path('f.html'), faulty, file);
    assert.equal(status, 1, name);
    assert.match(stderr, message, name);
    assert.match(stdout, /^[1-9]\d* records/, name);
    assert.ok(readFileSync(path('f.html'), 'utf8').includes('could not be read completely'), name);
  }
  const usage = run();
  assert.equal(usage.status, 2);
  assert.match(usage.stderr, /missing required argument 'files'/);
});

test('detections: markup in the texts of records is shown as text', () => {
  const at = 1_700_000_000_000;
  const record = {
    ...{ type: 'transition', at, observer: '<script>', member: 'n1', instance: 'i' },
    ...{
      incarnation: 0,
      from: 'alive',
      to: 'suspect',
      reason: '<b>',
      silentMs: null,
      evidence: [],
    },
  };
  const file = write('odd-names', JSON.stringify({ detection: record }));
  assert.equal(run('--out', path('odd.html'), file).status, 0);
  assert.doesNotMatch(readFileSync(path('odd.html'), 'utf8'), /<script>|<b>/);
});

test('detections: quantiles over all observers are within twice the relative accuracy of the sketches', () => {
  const records = ['n0', 'n1'].map((observer, observerIndex) => ({
    ...{ type: 'probeTimes' as const, at: observerIndex, observer, member: 'n2', localHealth: 0 },
    roundTripsMs: Array.from({ length: 500 }, (_, index) => index * 2 + observerIndex + 1),
  }));
  const all = probeQuantiles(records).find(({ lane }) => lane === 'all > n2');
  assert.equal(all?.count, 1000);
  for (const [index, expected] of [500, 900, 990].entries()) {
    const value = all.values[index] ?? 0;
    assert.ok(Math.abs(value - expected) <= expected * 0.02, `${value} instead of ${expected}`);
  }
});
