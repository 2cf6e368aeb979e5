/** One part on its own, with its state service, and what machines report to it. */
import { Committer } from '../../src/storage/committer.js';
import { CATALOG, chunkKey, jobKey, roleKey } from '../../src/storage/keys.js';
import type { ChunkRecord, JobRecord } from '../../src/storage/records.js';
import { Part } from '../../src/coordination/shard/shard.js';
import { TOKEN_STEP } from '../../src/constants.js';
import type { Command, JobSpec, TaskReport, WorkerReport } from '../../src/protocol/model.js';
import { SimClock } from './clock.js';
import { followingReplica } from './replica.js';
import { SimState } from './state.js';
import { TYPES, silent } from './settings.js';

/** The only job there is from the start. */
export const JOB = 'j-000001';
const TERM = 5;
/** The token of the part's term. */
export const TOKEN = TERM * TOKEN_STEP;

/** The spec of that job. */
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

/** A chunk of two tasks of that job's kind, of which none is placed. */
export const PLAIN_CHUNK: ChunkRecord = {
  ids: '0-1',
  done: '',
  live: {},
  team: 'red',
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  zone: 'a',
};
/** The attempt under which a gang's tasks start. */
export const GANG_ATTEMPT = 900;
/** The same as a share of a gang. */
export const GANG_SHARE: ChunkRecord = { ...PLAIN_CHUNK, attempt: GANG_ATTEMPT };

/** What differs from the default: one task of one job, with room for all changes at once. */
interface LonePartOptions {
  /** A former owner placed the task. */
  placed?: boolean;
  spec?: Partial<JobSpec>;
  zone?: string;
  ids?: string;
  agedMs?: number;
  txnOps?: number;
  valueBytes?: number;
  /** Placements beside the first. */
  live?: ChunkRecord['live'];
  done?: string;
  /** What else is there from the start. */
  held?: { key: string; value: unknown }[];
}

/** Stores what is there from the start: the role, the catalogue, a job and its only chunk. */
function fill(state: SimState, clock: SimClock, options: LonePartOptions): void {
  const chunk: ChunkRecord = {
    ids: options.ids ?? '0',
    done: options.done ?? '',
    live: {
      ...(options.placed ? { '0': ['m-1', 77] as const } : {}),
      ...options.live,
    } as ChunkRecord['live'],
    team: 'red',
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    zone: options.zone ?? 'a',
  };
  const job: JobRecord = {
    spec: { ...SPEC, ...options.spec },
    at: clock.wall() - (options.agedMs ?? 0),
  };
  state.change([
    { key: roleKey('part-p'), value: { owner: 'p' } },
    { key: CATALOG, value: TYPES },
    { key: jobKey(JOB), value: job },
    { key: chunkKey('p', JOB, 1), value: chunk },
    ...(options.held ?? []),
  ]);
}

/** One part on its own, with its state service. */
export async function lonePart(options: LonePartOptions = {}) {
  const clock = new SimClock();
  const state = new SimState(clock);
  fill(state, clock, options);
  state.txnOps = options.txnOps ?? 8;
  state.valueBytes = options.valueBytes ?? 8192;
  const store = followingReplica(clock, state, 100);
  const { replica } = store;
  await clock.run(500);
  const sent: {
    token: number;
    commands: Command[];
    fail: () => void;
    done: (report: WorkerReport) => void;
  }[] = [];
  const part = new Part(
    {
      part: 'p',
      number: 0,
      term: TERM,
      roleKey: roleKey('part-p'),
      roleRevision: replica.revisionOf(roleKey('part-p')),
      fenceAt: 60_000,
      leaseS: 24,
      reportS: 3,
      gangWaitS: 35,
      gangPeerS: 8,
      txnOps: options.txnOps ?? 8,
      valueBytes: options.valueBytes ?? 8192,
      alpha: 2,
      penalty: 2,
      snapshotMs: 1e9,
      startWithinS: {},
      alive: () => true,
      current: () => true,
      limiter: { supply: 'scarce', hasRoom: () => true },
      written: () => undefined,
    },
    {
      replica,
      committer: new Committer(store),
      workers: {
        full: false,
        command: (_address, token, _session, commands) =>
          new Promise((resolve, reject) => {
            sent.push({
              token,
              commands,
              fail: () => reject(new Error('no answer')),
              done: (report) => resolve({ executed: true, report }),
            });
          }),
      },
      clock,
      log: silent,
      wake: () => undefined,
    },
  );
  replica.onChange((keys) => keys.forEach((key) => part.changed(key)));
  let seq = 0;
  const answer = (change: Partial<WorkerReport> = {}, tasks: TaskReport[] = []) =>
    part.handleReport(reportOf({ seq: ++seq, tasks, ...change }));
  const report = (change: Partial<WorkerReport> = {}, tasks: TaskReport[] = []): Command[] => {
    const given = answer(change, tasks);
    return given.ok ? given.commands : [];
  };
  /** Rounds for so long: ends of tasks gather for a while before they are written. */
  const round = async (ms = 2000): Promise<void> => {
    for (let at = 0; at < ms; at += 250) {
      void part.round();
      await clock.run(clock.now() + 250);
    }
  };
  const stored = (): ChunkRecord | undefined =>
    state.cells.get(chunkKey('p', JOB, 1))?.value as ChunkRecord | undefined;
  const cancel = async (): Promise<void> => {
    state.change([{ key: jobKey(JOB), remove: true }]);
    await clock.run(clock.now() + 300);
  };
  return { clock, state, part, answer, report, round, stored, cancel, sent };
}

/** Its first task runs. */
export const running = (attempt: number): TaskReport => ({
  task: { job: JOB, index: 0 },
  attempt,
  state: 'running',
  cause: null,
});

/** Its first task is done. */
export const ended = (attempt: number): TaskReport => ({
  ...running(attempt),
  state: 'exited',
  cause: 'done',
});

/** What machines are told to do, in order. */
export const ops = (commands: Command[]): string[] => commands.map((command) => command.op);

/** A part on its own, and what a test sees and does of it. */
export type LonePart = Awaited<ReturnType<typeof lonePart>>;

/** A report of machine m-1, the first of its first session unless told otherwise. */
export const reportOf = (change: Partial<WorkerReport>): WorkerReport => ({
  machine: 'm-1',
  address: '10.0.0.1:9',
  type: 'small',
  zone: 'a',
  spot: false,
  session: 1,
  seq: 1,
  token: TOKEN,
  noticeS: null,
  tasks: [],
  ...change,
});
