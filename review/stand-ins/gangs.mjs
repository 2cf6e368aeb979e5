/** The tasks of gangs on all machines: they start, end and save together, by their attempt number. */

const TICK_MS = 100;

/** Gangs of one deployment; `times` are `gang_wait_s` and `gang_peer_s` of the settings. */
export class Gangs {
  constructor(times, record) {
    this.times = times;
    this.record = record;
    this.attempts = new Map();
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  close() {
    clearInterval(this.timer);
  }

  /** A task that has its image waits for the other tasks of its attempt. */
  gather(worker, key, task, job) {
    const id = `${job.ref}#${task.attempt}`;
    const attempt = this.attempts.get(id) ?? { id, job, members: [], startedAt: null };
    this.attempts.set(id, attempt);
    attempt.members.push({ worker, key, task });
    setTimeout(() => {
      if (task.stage === 'gathering') worker.endTask(key, task, 'alone');
    }, this.times.gang_wait_s * 1000);
    const present = attempt.members.filter((one) => this.stageOf(one) === 'gathering');
    if (attempt.startedAt !== null || present.length < job.larvae) return;
    attempt.startedAt = performance.now();
    attempt.members = present;
    attempt.end = worker.hooks.endOf?.(worker, task, job) ?? null;
    this.record(`gang ${id} runs`);
    for (const one of present) one.worker.setStage(one.task, 'running');
  }

  /** Stage of a task that is still on its machine; null otherwise. */
  stageOf({ worker, key, task }) {
    if (worker.isDead || worker.isHung || worker.tasks.get(key) !== task) return null;
    return task.stage === 'exited' ? null : task.stage;
  }

  /** A running task of a gang with checkpoints was told to stop, with enough time to save. */
  save(task, job) {
    const attempt = this.attempts.get(`${job.ref}#${task.attempt}`);
    attempt.haltedAt ??= performance.now();
  }

  tick() {
    for (const attempt of this.attempts.values()) {
      if (attempt.startedAt === null) continue;
      if (this.advance(attempt)) this.attempts.delete(attempt.id);
    }
  }

  /** Returns whether the attempt is over. */
  advance(attempt) {
    const { end, haltedAt, job, members, startedAt } = attempt;
    const now = performance.now();
    const stages = members.map((one) => this.stageOf(one));
    const endAll = (cause, stages) => {
      for (const one of members)
        if (stages.includes(one.task.stage)) one.worker.endTask(one.key, one.task, cause);
    };
    if (haltedAt !== undefined) {
      if (stages.every((stage) => stage === 'saving')) {
        if (now - haltedAt < job.spinS * 1000) return false;
        for (const { task } of members) task.isStored = true;
        endAll('stopped', ['saving']);
        return true;
      }
      if (now - haltedAt < this.times.gang_peer_s * 1000) return false;
      endAll('mates_gone', ['running']);
      endAll('stopped', ['saving']);
      return true;
    }
    if (stages.some((stage) => stage !== 'running')) {
      attempt.lostAt ??= now;
      if (now - attempt.lostAt < this.times.gang_peer_s * 900) return false;
      endAll('mates_gone', ['running']);
      return true;
    }
    if (end === null || now - startedAt < end.afterMs) return false;
    endAll(end.cause, ['running']);
    return true;
  }
}
