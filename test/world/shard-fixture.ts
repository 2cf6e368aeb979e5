/** Fixture: one shard with a simulated key-value store, and heartbeats of its machines. */
import { Committer } from '../../src/storage/committer.js';
import { CATALOG, assignmentKey, jobKey, roleKey } from '../../src/storage/keys.js';
import type { Log } from '../../src/storage/log.js';
import type { AssignmentRecord, JobRecord } from '../../src/storage/records.js';
import { Shard } from '../../src/coordination/shard/shard.js';
import { FENCING_TOKENS_PER_TERM } from '../../src/constants/election.js';
import type { Command, JobSpec, TaskStatus, Heartbeat } from '../../src/protocol/model.js';
import { SimClock } from './clock.js';
import { followingReplica } from './replica.js';
import { SimKeyValueStore } from './key-value-store.js';
import { TYPES, silentLog } from './settings.js';

/** The only job that is stored when the shard starts. */
export const JOB = 'j-000001';
const TERM = 5;
/** The fencing token of the shard's term. */
export const FENCING_TOKEN = TERM * FENCING_TOKENS_PER_TERM;

/** The spec of `JOB`. */
export const SPEC: JobSpec = {
  id: JOB,
  class: 'work',
  team: 'red',
  kind: 'array',
  priority: 'normal',
  tasks: 1,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: 'img',
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  estimateS: 10,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
};

/** An assignment of two tasks with the resources of `JOB`; neither task is placed. */
export const PLAIN_ASSIGNMENT: AssignmentRecord = {
  ids: '0-1',
  done: '',
  live: {},
  team: 'red',
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  zone: 'a',
};
/** The attempt number with which a gang's tasks start. */
export const GANG_ATTEMPT = 900;
/** The same assignment as a gang subset. */
export const GANG_ASSIGNMENT: AssignmentRecord = { ...PLAIN_ASSIGNMENT, attempt: GANG_ATTEMPT };

/** Options of the fixture. By default, one task is assigned and one transaction fits all changes. */
interface ShardFixtureOptions {
  /** True if a former holder of the shard placed task 0. */
  placed?: boolean;
  spec?: Partial<JobSpec>;
  zone?: string;
  ids?: string;
  /** ms since the submission of the job. */
  jobAgeMs?: number;
  transactionOps?: number;
  valueBytes?: number;
  /** Placements of further tasks. */
  live?: AssignmentRecord['live'];
  done?: string;
  /** Further records that are stored when the shard starts. */
  records?: { key: string; value: unknown }[];
  log?: Log;
  /** ms between two snapshots of the bandit; by default none is written. */
  snapshotMs?: number;
}

/** Stores the first records: the role, the catalogue, a job and its only assignment. */
function storeFirstRecords(
  simStore: SimKeyValueStore,
  clock: SimClock,
  options: ShardFixtureOptions,
): void {
  const assignment: AssignmentRecord = {
    ids: options.ids ?? '0',
    done: options.done ?? '',
    live: {
      ...(options.placed ? { '0': ['m-1', 77] as const } : {}),
      ...options.live,
    },
    team: 'red',
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    zone: options.zone ?? 'a',
  };
  const job: JobRecord = {
    spec: { ...SPEC, ...options.spec },
    at: clock.wall() - (options.jobAgeMs ?? 0),
  };
  simStore.change([
    { key: roleKey('part-p'), value: { owner: 'p' } },
    { key: CATALOG, value: TYPES },
    { key: jobKey(JOB), value: job },
    { key: assignmentKey('p', JOB, 1), value: assignment },
    ...(options.records ?? []),
  ]);
}

/** Returns a shard with its key-value store, and functions that act on them. */
export async function shardFixture(options: ShardFixtureOptions = {}) {
  const clock = new SimClock();
  const simStore = new SimKeyValueStore(clock);
  storeFirstRecords(simStore, clock, options);
  simStore.transactionOps = options.transactionOps ?? 8;
  simStore.valueBytes = options.valueBytes ?? 8192;
  const store = followingReplica(clock, simStore, 100);
  const { replica } = store;
  await clock.run(500);
  const sent: {
    fencingToken: number;
    commands: Command[];
    fail: () => void;
    done: (heartbeat: Heartbeat) => void;
  }[] = [];
  const shard = new Shard(
    {
      shard: 'p',
      number: 0,
      term: TERM,
      roleKey: roleKey('part-p'),
      roleRevision: replica.revisionOf(roleKey('part-p')),
      fenceAt: 60_000,
      leaseS: 24,
      heartbeatIntervalS: 3,
      gangWaitS: 35,
      gangPeerS: 8,
      transactionOps: options.transactionOps ?? 8,
      valueBytes: options.valueBytes ?? 8192,
      alpha: 2,
      penalty: 2,
      snapshotMs: options.snapshotMs ?? 1e9,
      startWithinS: {},
      isHolder: () => true,
      isReplicaCurrent: () => true,
      limiter: { supply: 'scarce', hasCapacity: () => true },
      onUrgentWrite: () => undefined,
    },
    {
      replica,
      committer: new Committer(store),
      workers: {
        isAtCallLimit: false,
        command: (_address, fencingToken, _workerEpoch, commands) =>
          new Promise((resolve, reject) => {
            sent.push({
              fencingToken,
              commands,
              fail: () => reject(new Error('no answer')),
              done: (heartbeat) => resolve({ executed: true, heartbeat }),
            });
          }),
      },
      clock,
      log: options.log ?? silentLog,
      wake: () => undefined,
    },
  );
  replica.onChange((keys) => keys.forEach((key) => shard.handleChange(key)));
  let lastSequence = 0;
  const answer = (change: Partial<Heartbeat> = {}, tasks: TaskStatus[] = []) =>
    shard.handleHeartbeat(heartbeatOf({ sequence: ++lastSequence, tasks, ...change }));
  const heartbeat = (change: Partial<Heartbeat> = {}, tasks: TaskStatus[] = []): Command[] => {
    const result = answer(change, tasks);
    return result.ok ? result.commands : [];
  };
  /** Reconciles every 250 ms for `ms`: ends of tasks are collected for a while, then written. */
  const reconcile = async (ms = 2000): Promise<void> => {
    for (let at = 0; at < ms; at += 250) {
      void shard.reconcile();
      await clock.run(clock.now() + 250);
    }
  };
  const stored = (): AssignmentRecord | undefined =>
    simStore.entries.get(assignmentKey('p', JOB, 1))?.value as AssignmentRecord | undefined;
  const cancel = async (): Promise<void> => {
    simStore.change([{ key: jobKey(JOB), remove: true }]);
    await clock.run(clock.now() + 300);
  };
  return {
    clock,
    store: simStore,
    shard,
    answer,
    heartbeat,
    reconcile,
    stored,
    cancel,
    sent,
  };
}

/** Returns the status of task 0 while it runs. */
export const running = (attempt: number): TaskStatus => ({
  task: { job: JOB, index: 0 },
  attempt,
  state: 'running',
  cause: null,
});

/** Returns the status of task 0 after it completed. */
export const ended = (attempt: number): TaskStatus => ({
  ...running(attempt),
  state: 'exited',
  cause: 'done',
});

/** Returns the operations of commands, in order. */
export const ops = (commands: Command[]): string[] => commands.map((command) => command.op);

/** A shard with its key-value store, and the functions with which a test acts on them. */
export type ShardFixture = Awaited<ReturnType<typeof shardFixture>>;

/** Returns the first heartbeat of machine m-1 in its first worker epoch, changed by `change`. */
export const heartbeatOf = (change: Partial<Heartbeat>): Heartbeat => ({
  machine: 'm-1',
  address: '10.0.0.1:9',
  type: 'small',
  zone: 'a',
  spot: false,
  workerEpoch: 1,
  sequence: 1,
  fencingToken: FENCING_TOKEN,
  noticeS: null,
  tasks: [],
  ...change,
});
