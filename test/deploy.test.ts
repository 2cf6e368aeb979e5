/**
 * The deploy file. Guards against heap limits with which a process outgrows the memory of a small
 * controller before it collects garbage, and against build options that cost time or rename functions.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { parse } from 'smol-toml';

/** MB of memory of the smallest controllers. */
const SMALLEST_MB = 127;
/** MB for what a process holds beside its heap (code, buffers, stacks), which takes 15 to 18 MB. */
const BESIDE_HEAP_MB = 20;
/** The young generation has two semi-spaces, between which it copies, and one for large objects. */
const SEMI_SPACES = 3;

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const deploy = parse(readFileSync(join(root, 'deploy', 'service.toml'), 'utf8')) as Record<
  string,
  string
>;

const flag = (name: string): number => {
  const found = new RegExp(`--${name}=(\\d+)`).exec(deploy['run'] ?? '');
  return Number(found?.[1]);
};

// With an old space of 100 MB and three semi-spaces of 16 MB, the heap could grow to 148 MB before a
// garbage collection, on a machine of 127 MB.
test('the heap that the run line allows fits the smallest controllers', () => {
  const heapMb = flag('max-old-space-size') + SEMI_SPACES * flag('max-semi-space-size');
  assert.ok(heapMb + BESIDE_HEAP_MB <= SMALLEST_MB, `${heapMb} MB of heap`);
});

// esbuild's --keep-names sets the name of each closure whenever one is created, also in hot code.
test('the build neither names closures at run time nor shortens names of functions', () => {
  const build = deploy['build'] ?? '';
  assert.match(build, /esbuild src\/main\.ts --bundle/);
  assert.doesNotMatch(build, /--keep-names|--minify-identifiers|--minify /);
});
