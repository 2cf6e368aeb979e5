/**
 * Guards against invalid settings that are not refused at the start, so that they would show only
 * later as a fault of the running cluster. Checks the program's version as well.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { DEFAULT_GANG_PEER_S, DEFAULT_GANG_WAIT_S } from '../../src/constants/gangs.js';
import { VERSION } from '../../src/constants/program.js';
import { readSettings } from '../../src/protocol/settings.js';
import { SETTINGS_FILE as SETTINGS } from '../world/settings-file.js';

/** The text of further members with numbers from 2 to `last`. */
const members = (last: number): string =>
  Array.from(
    { length: last - 1 },
    (_, at) => `[[members]]\nnode_name = "moth-${at + 2}"\nsite = "a"\npeer_addr = "127.0.0.1:1"\n`,
  ).join('');

/** Invalid lines of the section `suspicion`, each with the key that the message must name. */
const FAULTY_SUSPICION: [string, string][] = [
  ['probe_intervall_s = 1.0', 'probe_intervall_s'],
  ['probe_interval_s = 0', 'probe_interval_s'],
  ['probe_timeout_s = -0.5', 'probe_timeout_s'],
  ['probe_timeout_s = 2.0', 'probe_timeout_s'],
  ['suspicion_least_s = "long"', 'suspicion_least_s'],
  ['suspicion_least_s = 5.5\nsuspicion_most_s = 5.0', 'suspicion_least_s'],
  ['suspicion_most_s = 7.0', 'suspicion_most_s'],
  ['confirm_within_s = 60.0', 'confirm_within_s'],
  ['hold_new_work_s = -1.0', 'hold_new_work_s'],
  ['quorum = 0', 'quorum'],
  ['quorum = 1.5', 'quorum'],
  ['quorum = 2', 'quorum'],
  ['history = 0', 'history'],
  ['enabled = "yes"', 'enabled'],
];

test("settings: several operators' files are merged; a section in two of them is refused", () => {
  const folder = mkdtempSync(join(tmpdir(), 'mothbank-'));
  const write = (name: string, text: string): string => {
    const file = join(folder, name);
    writeFileSync(file, text);
    return file;
  };
  const platform = write('settings.toml', SETTINGS);
  const fleet = write('fleet.toml', '[fleet]\nidle_s = 7.0\n');
  const suspicion = write('suspicion.toml', '[suspicion]\nquorum = 1\n');
  const off = write('off.toml', '[suspicion]\nenabled = false\n');
  const both = readSettings(platform, [fleet, suspicion]);
  assert.deepEqual([both.fleet.idleS, both.suspicion?.quorum], [7, 1]);
  assert.equal(readSettings(platform, [fleet]).suspicion, null);
  assert.equal(readSettings(platform, [off]).suspicion, null);
  assert.notEqual(readSettings(platform, ['deploy/suspicion.toml']).suspicion, null);
  assert.throws(
    () => readSettings(platform, [suspicion, fleet, off]),
    /off\.toml: suspicion: section is also in another operators' file/,
  );
  const withMembers = (text: string): string => write('many.toml', `${text}${members(62)}`);
  assert.equal(readSettings(withMembers(SETTINGS), []).peers.length, 62);
});

test('settings: valid ones are read, invalid ones reported in one line with file and field', () => {
  const folder = mkdtempSync(join(tmpdir(), 'mothbank-'));
  const file = join(folder, 'settings.toml');
  const operatorsFile = join(folder, 'operators.toml');
  const read = (text: string, operators: string | null = null) => {
    writeFileSync(file, text);
    if (operators !== null) writeFileSync(operatorsFile, operators);
    return readSettings(file, operators === null ? [] : [operatorsFile]);
  };
  const settings = read(SETTINGS, '[placement]\nalpha = 0.5\n');
  assert.equal(settings.leaseS, 24);
  assert.equal(settings.placement.alpha, 0.5);
  assert.equal(settings.peers.length, 1);
  assert.deepEqual(
    [settings.gangWaitS, settings.gangPeerS],
    [DEFAULT_GANG_WAIT_S, DEFAULT_GANG_PEER_S],
  );
  // An announced limit applies from the start if it is stricter than the present one.
  const next = (fields: string): string =>
    SETTINGS.replace('[params.cloud]', `[params.state.next]\n${fields}\n[params.cloud]`);
  const gangs = (fields: string): string =>
    SETTINGS.replace('cancel_s = 54.0', `cancel_s = 54.0\n${fields}`);
  const lowered = read(next('rps = 200.0\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 2'));
  assert.deepEqual(
    [lowered.storeRps, lowered.storeWriteRps, lowered.valueBytes, lowered.transactionOps],
    [150, 18, 2048, 2],
  );
  const partly = read(next('txn_ops = 4'));
  assert.deepEqual([partly.storeWriteRps, partly.valueBytes, partly.transactionOps], [60, 8192, 4]);
  const timed = read(gangs('gang_wait_s = 35.0\ngang_peer_s = 8.0'));
  assert.deepEqual([timed.gangWaitS, timed.gangPeerS], [35, 8]);
  const cases: [string, string | null, RegExp][] = [
    [next('rps = 0'), null, /settings\.toml: params\.state\.next\.rps/],
    [next('write_rps = "few"'), null, /settings\.toml: params\.state\.next\.write_rps/],
    [next('value_kb = -2.0'), null, /settings\.toml: params\.state\.next\.value_kb/],
    [next('txn_ops = 1'), null, /settings\.toml: params\.state\.next\.txn_ops/],
    [next('txn_ops = 4.5'), null, /settings\.toml: params\.state\.next\.txn_ops/],
    [gangs('gang_wait_s = 0'), null, /settings\.toml: params\.workers\.gang_wait_s/],
    [gangs('gang_peer_s = "soon"'), null, /settings\.toml: params\.workers\.gang_peer_s/],

    ['x = [', null, /settings\.toml: not valid TOML/],
    [SETTINGS.replace('site = "a"', ''), null, /settings\.toml: site/],
    [SETTINGS.replace('rps = 150.0', 'rps = "many"'), null, /params\.state\.rps/],
    [SETTINGS.replace('127.0.0.1:8080', 'nowhere'), null, /front: must have the form HOST:PORT/],
    [SETTINGS.replace('cancel_s = 54.0', 'cancel_s = 24.0'), null, /params\.workers\.cancel_s/],
    [SETTINGS.replace('"moth-1"', '"moth-0"'), null, /members\.node_name/],
    [SETTINGS, '[fleet]\nidle_s = -1\n', /operators\.toml: fleet\.idle_s/],
    ...FAULTY_SUSPICION.map(([text, key]): [string, string, RegExp] => [
      SETTINGS,
      `[suspicion]\n${text}\n`,
      new RegExp(`operators\\.toml: suspicion\\.${key}: `),
    ]),
    [
      `${SETTINGS}${members(63)}`,
      null,
      /settings\.toml: members: at most 63 controllers are allowed, this one included/,
    ],
  ];
  for (const [text, operators, message] of cases) {
    assert.throws(
      () => read(text, operators),
      (error: Error) => {
        assert.match(error.message, message);
        assert.ok(!error.message.includes('\n'));
        return true;
      },
    );
  }
  assert.throws(() => readSettings(join(folder, 'none.toml'), []), /none\.toml: can't be read/);
});

test('the version equals the one in package.json', () => {
  const { version } = JSON.parse(readFileSync('package.json', 'utf8')) as { version: string };
  assert.equal(VERSION, version);
});
