/** The documents. Guards against names of files and links that no longer exist after a move or rename. */
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

/** Names and paths of files as the documents quote them; `*` stands for any name. */
const CODE_FILE = /`([\w./*-]+\.(?:ts|toml|mjs|json))`/g;
const LINK = /\]\((?!https?:|#)([^)#]+)(?:#[^)]*)?\)/g;
/** Files of a deployment, of older versions or of a build. They are not in the repository. */
const ELSEWHERE = /^(?:SETTINGS|OWN|settings|fleet|n\d)\.(?:toml|json)$|^target\/|^package|^KNOWN/;

const exists = (name: string): boolean => {
  const pattern = new RegExp(`(^|/)${name.replace(/[.]/g, '\\.').replace(/\*/g, '[^/]*')}$`);
  return SOURCES.some((file) => pattern.test(file)) || existsSync(join(ROOT, name));
};

for (const page of PAGES) {
  test(`${page}: all files and links that it names exist`, () => {
    const text = readFileSync(join(ROOT, page), 'utf8');
    const missing = [...text.matchAll(CODE_FILE)]
      .map(([, name]) => name ?? '')
      .filter((name) => !ELSEWHERE.test(name) && !exists(name));
    const broken = [...text.matchAll(LINK)]
      .map(([, link]) => posix.join(posix.dirname(page), link ?? ''))
      .filter((link) => !existsSync(join(ROOT, link)));
    assert.deepEqual([...missing, ...broken], []);
  });
}
