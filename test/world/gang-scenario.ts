/** Rules of the operators' page on gangs, played in the simulated cluster: the rows' common steps. */
import assert from 'node:assert/strict';
import { shardRole } from '../../src/coordination/election/role-election.js';
import { FINALS, readAssignmentKey, roleKey } from '../../src/storage/keys.js';
import type { AssignmentRecord } from '../../src/storage/records.js';
import * as script from './gang-steps.js';
import { GANG, WITH_CHECKPOINTS, gangWorld } from './gang-steps.js';
import { GangRecorder } from './gang-recorder.js';
import { stageOf, type Reply, type SimJob } from './jobs.js';
import type { SimWorker } from './worker.js';
import type { World } from './world.js';
import { cutOffMachine } from './fault-steps.js';

/** s after which the tasks of a machine without heartbeats have ended. */
export const LEASE_S = 24;
/** Four tasks on two machines, or more, of which each can save. */
export const LONG: Partial<SimJob> = { tasks: 4, cpus: 2, runS: 30, ...WITH_CHECKPOINTS };
/** A gang of the other team, wide enough for the machines of two zones. */
export const WIDE: Partial<SimJob> = {
  team: 'blue',
  tasks: 6,
  cpus: 2,
  runS: 60,
  ...WITH_CHECKPOINTS,
};
/** A gang that preempts others. */
export const URGENT: Partial<SimJob> = { tasks: 4, cpus: 2, urgent: true, runS: 15 };

/** A gang under one rule, what happens to it, and the jobs that must get done. */
export interface GangRuleCase {
  /** The rule of the operators' page. */
  rule: string;
  name: string;
  /** Zones of the machines that are there at the start; default: three in one. */
  zones?: string[];
  maxMachines?: number;
  act: (scenario: Scenario) => Promise<void>;
  /** Jobs that must get done; default: the gang. */
  done?: string[];
}

/** What a row works with: the world, what is recorded of it, and steps through time. */
class Scenario {
  readonly recorder: GangRecorder;

  constructor(readonly world: World) {
    this.recorder = new GangRecorder(world);
  }

  /** Lets simulated time run until a request is answered. */
  awaitReply(request: Promise<Reply>): Promise<Reply> {
    return script.awaitReply(this.world, request);
  }

  /** Submits a job, a gang unless told otherwise; the reply, whatever it is. */
  submit(id: string, job: Partial<SimJob>, at = 'n0'): Promise<Reply> {
    return this.awaitReply(this.world.submit(id, { gang: true, ...job }, at));
  }

  /** Submits a job, a gang unless told otherwise; it must be accepted. */
  submitAccepted(id: string, job: Partial<SimJob>): Promise<void> {
    return script.submit(this.world, id, job);
  }

  /** Runs on in small steps until something is so; what never comes fails the row. */
  runUntil(what: string, limitS: number, condition: () => boolean): Promise<void> {
    return script.runUntil(this.world, what, limitS, condition);
  }

  /** The times at which a gang began. */
  starts(id = GANG): World['gangStarts'] {
    return script.gangStartsOf(this.world, id);
  }

  /** Runs on until a gang has begun so many times. */
  awaitGangStart(limitS: number, times = 1, id = GANG): Promise<void> {
    return script.awaitGangStart(this.world, id, limitS, times);
  }

  /** Submits a gang and runs on until it has run for so many seconds; its attempt. */
  async submitAndRun(job: Partial<SimJob>, forS: number): Promise<number> {
    await this.submitAccepted(GANG, job);
    await this.awaitGangStart(20);
    await this.world.run(forS);
    return this.starts()[0]?.attempt ?? 0;
  }

  /** The machines of all its tasks. */
  machinesOf(id = GANG): SimWorker[] {
    const named = (task: string): boolean => task.startsWith(`${id}/`);
    return [...this.world.workers.values()].filter((one) => [...one.tasks.keys()].some(named));
  }

  /** The machine of one of its tasks. */
  machineOf(id = GANG): SimWorker {
    return script.machineOf(this.world, id);
  }

  /** Cuts a machine from all controllers. */
  cutOff(worker: SimWorker): void {
    cutOffMachine(this.world, worker.machine.name);
  }

  /** The controllers that own shards with shares of a job. */
  ownersOf(id = GANG): Set<string> {
    const owners = new Set<string>();
    for (const key of this.world.store.entries.keys()) {
      const share = readAssignmentKey(key);
      if (share?.job !== id) continue;
      const role = this.world.store.entries.get(roleKey(shardRole(share.shard)))?.value;
      owners.add((role as { owner: string }).owner);
    }
    return owners;
  }

  /** The machine of each task of a job that has one, by what the key-value store holds. */
  reservedMachines(id = GANG): string[] {
    return [...this.world.store.entries].flatMap(([key, cell]) =>
      readAssignmentKey(key)?.job === id
        ? Object.values((cell.value as AssignmentRecord).live).map(([machine]) => machine)
        : [],
    );
  }

  /** Attempts under which a job's tasks were ever handed out to shards. */
  attempts(id = GANG): Set<number | undefined> {
    const attempts = new Set<number | undefined>();
    for (const { key, value, removed } of this.world.store.log) {
      if (removed || readAssignmentKey(key)?.job !== id) continue;
      attempts.add((value as AssignmentRecord).attempt);
    }
    return attempts;
  }

  /** Seconds of progress that a gang has saved. */
  savedS(id = GANG): number {
    return (this.world.gangs.savedProgressMs.get(id) ?? 0) / 1000;
  }

  /** The attempt after the first goes on from what was saved: it runs only what was left. */
  async assertResumedFrom(savedS: number, runS: number): Promise<void> {
    await this.runUntil('all is complete', 120, () => this.world.completed.has(`${GANG}/0`));
    const [first, second] = this.starts();
    assert.ok(first && second && second.attempt > first.attempt, 'a new attempt');
    const last = this.recorder.endsOf(GANG, second.attempt).find((end) => end.cause === 'done');
    assert.ok(last, 'done under the second attempt');
    const ranS = (last.at - second.at) / 1000;
    assert.ok(Math.abs(ranS - (runS - savedS)) <= 1, `ran ${ranS} s, saved ${savedS} s`);
  }

  /** All is over: the state at every controller, nothing left on machines nor in the store. */
  async assertEnded(id: string, state: string, limitS: number): Promise<void> {
    let stage = '';
    for (let passed = 0; passed < limitS && stage !== state; passed += 2) {
      await this.world.run(2);
      stage = stageOf(await this.awaitReply(this.world.poll(id)));
    }
    assert.equal(stage, state, `${id} within ${limitS} s`);
    await this.world.run(60);
    for (const [node] of this.world.members) {
      const reply = await this.awaitReply(this.world.poll(id, node));
      assert.equal(stageOf(reply), state, `${id} at ${node}`);
    }
    assert.deepEqual(
      this.machinesOf(id).map((one) => one.machine.name),
      [],
      'left on machines',
    );
    const left = [...this.world.store.entries.keys()].filter(
      (key) => key.includes(id) && !key.startsWith(FINALS),
    );
    assert.deepEqual(left, [], 'left in the store');
  }
}

/** Plays a row; afterwards its jobs must be done, and the rules have held. */
export async function playRule({ zones, maxMachines, act, done }: GangRuleCase): Promise<void> {
  const world = await gangWorld(zones ?? ['a', 'a', 'a'], maxMachines);
  const scenario = new Scenario(world);
  await act(scenario);
  for (const id of done ?? [GANG]) await scenario.assertEnded(id, 'done', 300);
  assert.deepEqual(world.violations, []);
  assert.deepEqual([...scenario.recorder.jobsWithTwoAttempts], [], 'two attempts at once');
  assert.deepEqual(scenario.recorder.stopsWithoutTimeToSave(), [], 'halts without time to save');
}
