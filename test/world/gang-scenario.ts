/** Plays cases for the rules on gangs in the operators' documentation, in the simulated cluster. */
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

/** s after its last acknowledged heartbeat at which a worker has ended all its tasks. */
export const LEASE_S = 24;
/** A gang with checkpoints whose four tasks need at least two machines. */
export const CHECKPOINTED_GANG: Partial<SimJob> = {
  tasks: 4,
  cpus: 2,
  runS: 30,
  ...WITH_CHECKPOINTS,
};
/** A gang of the other team that fills three machines. With two machines a zone it needs two zones. */
export const TWO_ZONE_GANG: Partial<SimJob> = {
  team: 'blue',
  tasks: 6,
  cpus: 2,
  runS: 60,
  ...WITH_CHECKPOINTS,
};
/** A gang of urgent rank, which preempts others. */
export const URGENT_GANG: Partial<SimJob> = { tasks: 4, cpus: 2, urgent: true, runS: 15 };

/** A case for one rule: the machines, what is done to a gang, and the jobs that must get done. */
export interface GangRuleCase {
  /** The rule, as the operators' documentation states it. */
  rule: string;
  name: string;
  /** Zones of the machines at the start, one entry for each; default: three machines in one zone. */
  zones?: string[];
  maxMachines?: number;
  act: (scenario: Scenario) => Promise<void>;
  /** Jobs that must get done; default: the gang. */
  done?: string[];
}

/** The world of a case, the recorder of its gang tasks, and steps that let simulated time run. */
class Scenario {
  readonly recorder: GangRecorder;

  constructor(readonly world: World) {
    this.recorder = new GangRecorder(world);
  }

  /** Lets simulated time run until a request is answered. */
  awaitReply(request: Promise<Reply>): Promise<Reply> {
    return script.awaitReply(this.world, request);
  }

  /** Submits a job, by default a gang, and returns the reply even if it is a refusal. */
  submit(id: string, job: Partial<SimJob>, at = 'n0'): Promise<Reply> {
    return this.awaitReply(this.world.submit(id, { gang: true, ...job }, at));
  }

  /** Submits a job, by default a gang; it must be accepted. */
  submitAccepted(id: string, job: Partial<SimJob>): Promise<void> {
    return script.submit(this.world, id, job);
  }

  /** Runs in small steps until the condition holds; fails if it does not within `limitS` seconds. */
  runUntil(what: string, limitS: number, condition: () => boolean): Promise<void> {
    return script.runUntil(this.world, what, limitS, condition);
  }

  /** Returns the starts of a gang: each time that all its tasks ran together. */
  starts(id = GANG): World['gangStarts'] {
    return script.gangStartsOf(this.world, id);
  }

  /** Runs until a gang has started `times` times. */
  awaitGangStart(limitS: number, times = 1, id = GANG): Promise<void> {
    return script.awaitGangStart(this.world, id, limitS, times);
  }

  /** Submits a gang, lets it run for `forS` seconds after its start and returns its attempt. */
  async submitAndRun(job: Partial<SimJob>, forS: number): Promise<number> {
    await this.submitAccepted(GANG, job);
    await this.awaitGangStart(20);
    await this.world.run(forS);
    return this.starts()[0]?.attempt ?? 0;
  }

  /** Returns the workers of all machines that hold tasks of a job. */
  machinesOf(id = GANG): SimWorker[] {
    const named = (task: string): boolean => task.startsWith(`${id}/`);
    return [...this.world.workers.values()].filter((one) => [...one.tasks.keys()].some(named));
  }

  /** Returns the worker of a machine that holds a task of a job. */
  machineOf(id = GANG): SimWorker {
    return script.machineOf(this.world, id);
  }

  /** Cuts a machine off from all controllers. */
  cutOff(worker: SimWorker): void {
    cutOffMachine(this.world, worker.machine.name);
  }

  /** Returns the holders of all shards that hold gang subsets of a job. */
  holdersOf(id = GANG): Set<string> {
    const owners = new Set<string>();
    for (const key of this.world.store.entries.keys()) {
      const assignment = readAssignmentKey(key);
      if (assignment?.job !== id) continue;
      const role = this.world.store.entries.get(roleKey(shardRole(assignment.shard)))?.value;
      owners.add((role as { owner: string }).owner);
    }
    return owners;
  }

  /** Returns the stored machine of each task of a job that is placed. */
  reservedMachines(id = GANG): string[] {
    return [...this.world.store.entries].flatMap(([key, cell]) =>
      readAssignmentKey(key)?.job === id
        ? Object.values((cell.value as AssignmentRecord).live).map(([machine]) => machine)
        : [],
    );
  }

  /** Returns the attempts of all assignments that were ever stored for a job. */
  attempts(id = GANG): Set<number | undefined> {
    const attempts = new Set<number | undefined>();
    for (const { key, value, removed } of this.world.store.log) {
      if (removed || readAssignmentKey(key)?.job !== id) continue;
      attempts.add((value as AssignmentRecord).attempt);
    }
    return attempts;
  }

  /** Returns the seconds of progress that a gang has saved. */
  savedS(id = GANG): number {
    return (this.world.gangs.savedProgressMs.get(id) ?? 0) / 1000;
  }

  /**
   * Fails unless the second attempt resumes from the saved progress: it must run for only as long as
   * is left of `runS`, within 1 s.
   */
  async assertResumedFrom(savedS: number, runS: number): Promise<void> {
    await this.runUntil('all is complete', 120, () => this.world.completedTasks.has(`${GANG}/0`));
    const [first, second] = this.starts();
    assert.ok(first && second && second.attempt > first.attempt, 'a new attempt');
    const last = this.recorder.endsOf(GANG, second.attempt).find((end) => end.cause === 'done');
    assert.ok(last, 'done under the second attempt');
    const ranS = (last.at - second.at) / 1000;
    assert.ok(Math.abs(ranS - (runS - savedS)) <= 1, `ran ${ranS} s, saved ${savedS} s`);
  }

  /**
   * Fails unless a job reaches the state within `limitS` seconds. 60 s later every controller must
   * report that state, and nothing of the job may be left on machines or in the store.
   */
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

/**
 * Plays a case. Afterwards its jobs must be done, and throughout the invariants must have held, no job
 * may have had two attempts at once, and each stop must have left time to save.
 */
export async function playRule({ zones, maxMachines, act, done }: GangRuleCase): Promise<void> {
  const world = await gangWorld(zones ?? ['a', 'a', 'a'], maxMachines);
  const scenario = new Scenario(world);
  await act(scenario);
  for (const id of done ?? [GANG]) await scenario.assertEnded(id, 'done', 300);
  assert.deepEqual(world.violations, []);
  assert.deepEqual([...scenario.recorder.jobsWithTwoAttempts], [], 'two attempts at once');
  assert.deepEqual(scenario.recorder.stopsWithoutTimeToSave(), [], 'stops without time to save');
}
