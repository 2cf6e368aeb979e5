/** Jobs of the simulated cluster: their properties, their submissions and the replies to users. */

/** A controller's reply to a user. */
export interface Reply {
  status: number;
  body: unknown;
}

/** Returns the job's state in a reply; empty: the reply has none. */
export const stageOf = (reply: Reply): string =>
  (reply.body as { stage?: string } | null)?.stage ?? '';

/** Returns a reply with its body parsed; the body of a relayed reply is text. */
export function unwrap(reply: Reply): Reply {
  const { status, body } = reply;
  return { status, body: typeof body === 'string' ? (JSON.parse(body) as unknown) : body };
}

/** A submitted job, with properties that only the simulation uses. */
export interface SimJob {
  team: string;
  cpus: number;
  gpus: number;
  tasks: number;
  runS: number;
  service: boolean;
  /** True for a gang: all its tasks run at the same time, or none runs. */
  gang: boolean;
  /** Seconds of progress between two checkpoints; 0: the job saves no progress. */
  checkpointS: number;
  /** Seconds that a stopped job takes to save its progress. */
  saveS: number;
  spot: boolean;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  /** Allowed machine types; null: any. */
  types: string[] | null;
  /** Time in ms of the first reply that confirmed the cancellation; null: none did. */
  cancelledAt: number | null;
  urgent: boolean;
  deadlineS: number | null;
  /** True if its tasks fail on every machine. */
  broken: boolean;
}

/** The properties of a job for which a test sets none. */
const DEFAULT_JOB: SimJob = {
  team: 'red',
  cpus: 1,
  gpus: 0,
  tasks: 4,
  runS: 10,
  service: false,
  gang: false,
  checkpointS: 0,
  saveS: 0,
  spot: true,
  zone: null,
  oneZone: false,
  spread: false,
  types: null,
  cancelledAt: null,
  urgent: false,
  broken: false,
  deadlineS: null,
};

/** Returns a job with the default for each property that is not set. */
export const jobOf = (job: Partial<SimJob>): SimJob => ({ ...DEFAULT_JOB, ...job });

/** Returns a submission's body. `raw` replaces fields of the body; undefined removes a field. */
export function submissionOf(
  id: string,
  job: SimJob,
  raw: Record<string, unknown>,
): Record<string, unknown> {
  return {
    ref: id,
    lane: 'work',
    crew: job.team,
    shape: job.gang ? 'group' : job.service ? 'standing' : 'sweep',
    rank: job.urgent ? 'urgent' : 'normal',
    larvae: job.tasks,
    cores: job.cpus,
    gpus: job.gpus,
    memGb: 1,
    cocoon: 'img-1',
    imageGb: 1,
    breeds: job.types,
    grove: job.zone,
    samePlace: job.oneZone,
    apart: job.spread,
    windfall: job.spot,
    guessS: job.service ? 0 : job.runS,
    moltS: job.checkpointS,
    spinS: job.saveS,
    duskS: job.deadlineS,
    ...raw,
  };
}

/** A task of a job on a machine. */
export interface SimTask {
  attempt: number;
  state: 'pulling' | 'gathering' | 'running' | 'exited';
  cause?: string;
  cpus: number;
  /**
   * Time in ms at which a gang's task has saved its progress, after a command to stop with time to
   * save. The task reports `running` until it exits.
   */
  savedAt?: number;
  /** True if the progress was saved when the task was stopped. */
  isProgressSaved?: boolean;
}
