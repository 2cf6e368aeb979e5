/**
 * Plays an upgrade and its reversal with two builds of the controller on one key-value store. Not a test, since it
 * needs the bundle of an older version: run it after a build with
 * `node target/test/loopback/mixed-versions.js OLD_BUNDLE NEW_BUNDLE [OPERATORS_FILE...]`.
 * Prints one JSON object a step; the exit code is 1 where an invariant was violated or a step timed out.
 */
import assert from 'node:assert/strict';
import { resolve } from 'node:path';
import { stageOf, type SimJob } from '../world/jobs.js';
import { LoopbackCluster } from './cluster.js';

const MEMBERS = [
  ['n0', 'a'],
  ['n1', 'a'],
  ['n2', 'b'],
] as const;
const NODES = MEMBERS.map(([name]) => name);
type Node = (typeof NODES)[number];
/** s; limit of each wait: invariants are checked, not speed. */
const LIMIT_S = 120;
/** pino's number of the level `error`. */
const ERROR_LEVEL = 50;

/** The two builds, by their bundles. */
interface Builds {
  readonly old: string;
  readonly new: string;
}
type Version = keyof Builds;

/** A cluster of two builds, with the jobs that were submitted so far. */
class MixedCluster {
  private readonly versions = new Map<Node, Version>(NODES.map((node) => [node, 'old']));
  /** Final states that controllers reported, by job. */
  private readonly ended = new Map<string, 'done' | 'withdrawn'>();
  /** Number of log lines of each controller that earlier steps have counted. */
  private readonly countedLines = new Map<Node, number>();
  private jobCount = 0;

  constructor(
    private readonly cluster: LoopbackCluster,
    private readonly builds: Builds,
  ) {}

  /** Runs one step and prints its duration and the errors that controllers logged in it. */
  async step(name: string, run: () => Promise<void>): Promise<void> {
    const startedAt = this.cluster.clock.now();
    await run();
    assert.deepEqual(this.cluster.violations, [], name);
    const tasks = this.cluster.starts.map(({ task }) => task);
    assert.equal(new Set(tasks).size, tasks.length, `${name}: a task started twice`);
    const seconds = Math.round((this.cluster.clock.now() - startedAt) / 100) / 10;
    const versions = Object.fromEntries(this.versions);
    const row = { step: name, seconds, versions, starts: tasks.length, errors: this.newErrors() };
    process.stdout.write(`${JSON.stringify(row)}\n`);
  }

  /** Counts of error messages since the last call, by controller and message. */
  private newErrors(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const node of NODES) {
      const lines = this.cluster.log(node);
      for (const { level, msg } of lines.slice(this.countedLines.get(node) ?? 0)) {
        if (Number(level) < ERROR_LEVEL) continue;
        const key = `${node}: ${msg}`;
        counts[key] = (counts[key] ?? 0) + 1;
      }
      this.countedLines.set(node, lines.length);
    }
    return counts;
  }

  async waitUntilReady(nodes: readonly Node[]): Promise<void> {
    await this.cluster.waitUntil(
      `${nodes.join(', ')} ready with their shards`,
      LIMIT_S,
      async () => {
        const ready = await Promise.all(nodes.map((node) => this.cluster.isReady(node)));
        const hasShards = nodes.every(
          (node) => this.cluster.roleRecord(`part-${node}`)?.owner === node,
        );
        return ready.every(Boolean) && hasShards && this.cluster.roleRecord('leader') !== null;
      },
    );
  }

  /** Ends one controller and starts it again with a build. */
  async replace(node: Node, version: Version): Promise<void> {
    await this.cluster.process(node).kill();
    this.versions.set(node, version);
    this.cluster.process(node).start(this.builds[version]);
    await this.waitUntilReady([node]);
  }

  /** Ends all controllers at once and starts them again with a build. */
  async replaceAll(version: Version): Promise<void> {
    await Promise.all(NODES.map((node) => this.cluster.process(node).kill()));
    for (const node of NODES) {
      this.versions.set(node, version);
      this.cluster.process(node).start(this.builds[version]);
    }
    await this.waitUntilReady(NODES);
  }

  /** Ends the leader, waits for another one, and starts the former leader again with its own build. */
  async killLeader(): Promise<void> {
    const before = this.cluster.roleRecord('leader');
    const leader = NODES.find((node) => node === before?.owner);
    assert.ok(before && leader, 'no leader');
    await this.cluster.process(leader).kill();
    await this.cluster.waitUntil('a new leader', LIMIT_S, () => {
      const role = this.cluster.roleRecord('leader');
      return role !== null && role.term > before.term && role.owner !== leader;
    });
    this.cluster.process(leader).start(this.builds[this.versions.get(leader) ?? 'old']);
    await this.waitUntilReady([leader]);
  }

  /** Submits a job until it is accepted, and waits until all its tasks have started; returns its id. */
  async submit(job: Partial<SimJob>, at: Node): Promise<string> {
    const id = `j-${String(++this.jobCount).padStart(6, '0')}`;
    const submission = { ...job, spot: false };
    await this.cluster.waitUntil(`${id} accepted`, LIMIT_S, async () =>
      [200, 201].includes((await this.cluster.submit(id, submission, at)).status),
    );
    await this.cluster.waitUntil(`${id} started`, LIMIT_S, () => {
      const started = this.cluster.starts.filter(({ task }) => task.startsWith(`${id}/`));
      return started.length === job.tasks;
    });
    return id;
  }

  /** Waits until every controller reports the final state of a job. */
  async waitForEnd(id: string, state: 'done' | 'withdrawn'): Promise<void> {
    for (const node of NODES) {
      await this.cluster.waitUntil(`${id} ${state} at ${node}`, LIMIT_S, async () => {
        return stageOf(await this.cluster.poll(id, node)) === state;
      });
    }
    this.ended.set(id, state);
  }

  /** An array, a gang and a cancelled service, each submitted at one controller and polled at all. */
  async runJobs(): Promise<void> {
    const array = async (): Promise<void> =>
      this.waitForEnd(await this.submit({ tasks: 6, runS: 5 }, 'n0'), 'done');
    const gang = async (): Promise<void> =>
      this.waitForEnd(await this.submit({ tasks: 3, runS: 5, gang: true }, 'n1'), 'done');
    const cancelledService = async (): Promise<void> => {
      const id = await this.submit({ tasks: 2, service: true, team: 'blue' }, 'n2');
      await this.cluster.waitUntil(`${id} cancelled`, LIMIT_S, async () => {
        return stageOf(await this.cluster.cancel(id, 'n0')) === 'withdrawn';
      });
      await this.waitForEnd(id, 'withdrawn');
      await this.cluster.waitUntil(`${id} stopped`, LIMIT_S, () => !this.isRunning(id));
    };
    await Promise.all([array(), gang(), cancelledService()]);
  }

  /** Whether a task of the job is on a machine. */
  isRunning(id: string): boolean {
    return [...this.cluster.workers.values()].some((worker) =>
      [...worker.tasksOnMachine()].some(([task]) => task.startsWith(`${id}/`)),
    );
  }

  /** Every controller still reports each final state that was reported before. */
  async checkEndedJobs(): Promise<void> {
    for (const [id, state] of this.ended) await this.waitForEnd(id, state);
  }

  /** Every rented machine has a record in the key-value store. */
  async waitForNoOrphans(): Promise<void> {
    await this.cluster.waitUntil('no machine without a record', LIMIT_S, async () => {
      return (await this.cluster.orphanMachines()).length === 0;
    });
  }
}

/** Jobs that the old build leaves unfinished for the new one. */
async function leaveUnfinishedJobs(mixed: MixedCluster): Promise<string[]> {
  return Promise.all([
    mixed.submit({ tasks: 6, runS: 40 }, 'n0'),
    mixed.submit({ tasks: 3, runS: 40, gang: true }, 'n1'),
  ]);
}

async function play(mixed: MixedCluster): Promise<void> {
  await mixed.step('all old', async () => {
    await mixed.waitUntilReady(NODES);
    await mixed.runJobs();
  });
  const service = await mixed.submit({ tasks: 2, service: true }, 'n0');
  const upgradeStep = (node: Node, version: Version): Promise<void> =>
    mixed.step(`${node} replaced by the ${version} build`, async () => {
      await mixed.replace(node, version);
      await mixed.runJobs();
    });
  const leaderStep = (): Promise<void> =>
    mixed.step('leader killed', async () => {
      await mixed.killLeader();
      await mixed.runJobs();
    });
  await upgradeStep('n0', 'new');
  await leaderStep();
  await upgradeStep('n1', 'new');
  await leaderStep();
  await upgradeStep('n2', 'new');
  await mixed.step('ended jobs at the new build', () => mixed.checkEndedJobs());
  await upgradeStep('n2', 'old');
  await leaderStep();
  await upgradeStep('n1', 'old');
  await upgradeStep('n0', 'old');
  const unfinished = await leaveUnfinishedJobs(mixed);
  await mixed.step('new build alone on what the old one left', async () => {
    await mixed.replaceAll('new');
    for (const id of unfinished) await mixed.waitForEnd(id, 'done');
    await mixed.checkEndedJobs();
    await mixed.runJobs();
    assert.ok(mixed.isRunning(service), 'the service that the old build started has stopped');
    await mixed.waitForNoOrphans();
  });
}

async function main(): Promise<void> {
  const [oldBundle, newBundle, ...operators] = process.argv.slice(2).map((file) => resolve(file));
  if (oldBundle === undefined || newBundle === undefined) {
    process.stderr.write('usage: mixed-versions.js OLD_BUNDLE NEW_BUNDLE [OPERATORS_FILE...]\n');
    process.exit(2);
  }
  const cluster = await LoopbackCluster.start({ members: MEMBERS, operators, program: oldBundle });
  try {
    await play(new MixedCluster(cluster, { old: oldBundle, new: newBundle }));
  } finally {
    await cluster.stop();
  }
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exit(1);
});
