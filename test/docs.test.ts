/** The documents: each file and each link that they name is there. */
import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, posix } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const filesBelow = (folder: string): string[] =>
  readdirSync(join(ROOT, folder), { recursive: true, encoding: 'utf8' }).map(
    (name) => `${folder}/${name}`,
  );
const SOURCES = [
  ...['src', 'test', 'docs', 'deploy'].flatMap(filesBelow),
  ...filesBelow('packages').filter((name) => !/node_modules|target/.test(name)),
];
const PAGES = ['README.md', ...filesBelow('docs').filter((name) => name.endsWith('.md'))];

/** File names and paths of code, as pages write them; `*` stands for any name. */
const CODE_FILE = /`([\w./*-]+\.(?:ts|toml|mjs|json))`/g;
const LINK = /\]\((?!https?:|#)([^)#]+)(?:#[^)]*)?\)/g;
/** Files of a deployment, of older versions or of a build, which are not in the repository. */
const ELSEWHERE = /^(?:SETTINGS|OWN|settings|fleet|n\d)\.(?:toml|json)$|^target\/|^package|^KNOWN/;

const isThere = (name: string): boolean => {
  const pattern = new RegExp(`(^|/)${name.replace(/[.]/g, '\\.').replace(/\*/g, '[^/]*')}$`);
  return SOURCES.some((file) => pattern.test(file)) || existsSync(join(ROOT, name));
};

for (const page of PAGES) {
  test(`${page} names only files that are there`, () => {
    const text = readFileSync(join(ROOT, page), 'utf8');
    const missing = [...text.matchAll(CODE_FILE)]
      .map(([, name]) => name ?? '')
      .filter((name) => !ELSEWHERE.test(name) && !isThere(name));
    const broken = [...text.matchAll(LINK)]
      .map(([, link]) => posix.join(posix.dirname(page), link ?? ''))
      .filter((link) => !existsSync(join(ROOT, link)));
    assert.deepEqual([...missing, ...broken], []);
  });
}
