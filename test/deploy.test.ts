/** The deploy file: what its lines must keep for the machines that they run on. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { parse } from 'smol-toml';

/** MB of the smallest controllers. */
const SMALLEST_MB = 127;
/** MB that a process holds beside its heap: code, buffers, stacks; measured 15 to 18. */
const BESIDE_HEAP_MB = 20;
/** The young space is two semi-spaces to copy between, and one of large objects. */
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

// With 100 MB and three times 16 MB a process could grow to 148 MB, of 127, before it collected.
test('the heap that the run line allows fits the smallest controllers', () => {
  const heapMb = flag('max-old-space-size') + SEMI_SPACES * flag('max-semi-space-size');
  assert.ok(heapMb + BESIDE_HEAP_MB <= SMALLEST_MB, `${heapMb} MB of heap`);
});

// esbuild's --keep-names defines the name of each closure when it is made, in hot code too.
test('the build does not name closures at run time, and shortens no names of functions', () => {
  const build = deploy['build'] ?? '';
  assert.match(build, /esbuild src\/main\.ts --bundle/);
  assert.doesNotMatch(build, /--keep-names|--minify-identifiers|--minify /);
});
