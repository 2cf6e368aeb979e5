/**
 * Guards against an invariant checker that misses a forgotten job, so that cluster tests pass
 * although the job is lost. Each form of a forgotten job is injected as a fault and must be recorded
 * as a violation. Faults within the allowed times must not be, and neither must failures of all
 * polls while faults are not over.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Reply } from '../world/jobs.js';
import type { RequestKind } from '../world/invariant-checker.js';
import { SERVICE, controllerNames, submit } from '../world/overlapping-faults.js';
import { World } from '../world/world.js';

const JOB = 'j-000001';
const OTHER = 'j-000002';
const LATER = 'j-000003';

type AlterReply = (kind: RequestKind, id: string, reply: Reply) => Reply;

interface Fault {
  name: string;
  alterReply?: AlterReply;
  /** Called once two jobs run, to inject the fault. */
  begin?: (world: World) => void | Promise<void>;
  /** Seconds for which users send requests. */
  forS: number;
  /** Set if the checks that apply after all faults start together with this fault. */
  isOver?: true;
  expected: RegExp | null;
}

const failOnly =
  (kind: RequestKind, id: string, status: number): AlterReply =>
  (requestKind, requestId, reply) =>
    requestKind === kind && requestId === id ? { status, body: null } : reply;
const allPolls: AlterReply = (kind, _id, reply) =>
  kind === 'poll' ? { status: 503, body: null } : reply;

const FAULTS: Fault[] = [
  { name: 'no fault', forS: 100, isOver: true, expected: null },
  {
    name: 'a poll gets 404',
    alterReply: failOnly('poll', JOB, 404),
    forS: 10,
    expected: /^forgotten j-000001 \(poll\)$/,
  },
  ...[400, 422].map((status) => ({
    name: `a repeated submission gets ${status}`,
    alterReply: failOnly('submit', JOB, status),
    forS: 10,
    expected: new RegExp(`^forgotten ${JOB} \\(submission ${status}\\)$`),
  })),
  {
    name: 'each poll of one job fails for 80 s',
    alterReply: failOnly('poll', JOB, 503),
    forS: 80,
    expected: null,
  },
  {
    name: 'each poll of one job fails for 100 s',
    alterReply: failOnly('poll', JOB, 503),
    forS: 100,
    expected: /^forgotten j-000001: each poll failed for 90 s$/,
  },
  { name: 'all polls fail for 100 s', alterReply: allPolls, forS: 100, expected: null },
  {
    name: 'all polls fail for 80 s after all faults',
    alterReply: allPolls,
    forS: 80,
    isOver: true,
    expected: /^forgotten j-00000[12]: no poll answered for 75 s/,
  },
  {
    name: 'all controllers are down for 80 s after all faults',
    begin: (world) => {
      for (const name of controllerNames(world)) world.kill(name);
    },
    forS: 80,
    isOver: true,
    expected: /^forgotten j-00000[12]: no poll answered for 75 s/,
  },
  {
    name: 'no task is placed although machines are free',
    begin: async (world) => {
      await submit(world, LATER, { tasks: 1 });
      for (const name of controllerNames(world)) world.kill(name);
    },
    forS: 95,
    isOver: true,
    expected: /^forgotten j-000003: waits for 90 s while a machine is free$/,
  },
];

test('invariant checker: each form of a forgotten job is a violation, tolerated faults are not', async () => {
  for (const { name, alterReply, begin, forS, isOver, expected } of FAULTS) {
    const world = new World(51);
    for (const zone of ['a', 'b']) world.addMachine('small', zone, false, 500);
    await world.run(7);
    for (const id of [JOB, OTHER]) await submit(world, id, { ...SERVICE, tasks: 1 });
    await world.run(5);
    await begin?.(world);
    if (alterReply) world.alterReply = alterReply;
    if (isOver) world.startChecksAfterFaults();
    for (let second = 0; second < forS; second++) {
      if (second % 5 === 0) {
        for (const id of [JOB, OTHER]) {
          void world.poll(id, `n${second % 3}`);
          void world.submit(id, SERVICE, `n${(second + 1) % 3}`);
        }
      }
      await world.run(1);
    }
    const matching = world.violations.filter((one) => expected?.test(one));
    const message = `${name}: ${JSON.stringify(world.violations.slice(0, 3))}`;
    if (expected) assert.ok(matching.length > 0, message);
    else assert.equal(world.violations.length, 0, message);
  }
});
