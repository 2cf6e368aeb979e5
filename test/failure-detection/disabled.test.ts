/** Tests that disabled failure detection is not loaded and sends no messages. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import type { PeerMessage } from '../../src/protocol/peer-messages.js';
import { WITH_FAILURE_DETECTION } from '../world/failure-detection-case.js';
import { World } from '../world/world.js';

const here = dirname(fileURLToPath(import.meta.url));
const STATIC_IMPORT = /^(?:import|export)[^;]*?from '([^']+)';|^import '([^']+)';/gm;

/** Returns all modules that a compiled module loads by static imports, directly or indirectly. */
function loadedBy(file: string, loaded = new Set<string>()): Set<string> {
  if (loaded.has(file)) return loaded;
  loaded.add(file);
  for (const [, importedFrom, importedAlone] of readFileSync(file, 'utf8').matchAll(
    STATIC_IMPORT,
  )) {
    const name = importedFrom ?? importedAlone ?? '';
    if (name.startsWith('.')) loadedBy(join(dirname(file), name), loaded);
    else loaded.add(name);
  }
  return loaded;
}

test('a controller that starts without failure detection loads none of its modules', () => {
  const loaded = [...loadedBy(join(here, '..', '..', 'src', 'main.js'))];
  assert.ok(loaded.some((name) => name.endsWith('/coordination/election/role-election.js')));
  assert.ok(loaded.includes('hono/router/pattern-router'));
  const unneeded =
    /failure-detection\/(?!detection-service)|suspicion|failure-detector|detector-codec|detection-report|plot|sketches/;
  assert.deepEqual(
    loaded.filter((name) => unneeded.test(name)),
    [],
  );
});

test('controllers without failure detection send no detector messages and ignore those of peers', async () => {
  for (const [overrides, expected] of [
    [{}, false],
    [WITH_FAILURE_DETECTION, true],
  ] as const) {
    const world = new World(1, undefined, overrides);
    const kinds = new Set<PeerMessage['kind']>();
    world.onPeerMessage = (message) => {
      kinds.add(message.kind);
      return message;
    };
    await world.run(20);
    assert.equal(kinds.has('detector'), expected);
    const { node } = world.nodes.get('n0') ?? assert.fail();
    node.receive({ kind: 'detector', payload: Buffer.from('ffff', 'hex') }, () => assert.fail());
    assert.equal(node.detection?.counts.dropped.malformed, expected ? 1 : undefined);
    assert.deepEqual(world.violations, []);
  }
});
