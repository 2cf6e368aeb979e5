/** Jobs of the simulated cluster: what is known of them, how they are sent, and what is answered. */

/** An answer of a controller to a user. */
export interface Reply {
  status: number;
  body: unknown;
}

/** The state of a job that an answer names. */
export const stageOf = (reply: Reply): string =>
  (reply.body as { stage?: string } | null)?.stage ?? '';

/** A relayed answer's body is still text. */
export function unwrap(reply: Reply): Reply {
  const { status, body } = reply;
  return { status, body: typeof body === 'string' ? (JSON.parse(body) as unknown) : body };
}

/** A job as its user described it, and what the world decides of it. */
export interface SimJob {
  team: string;
  cpus: number;
  gpus: number;
  tasks: number;
  runS: number;
  service: boolean;
  /** All its tasks run together or none does. */
  gang: boolean;
  /** Interval of progress after which it saves by itself; 0: it never saves. */
  checkpointS: number;
  /** What saving takes when it is stopped. */
  saveS: number;
  spot: boolean;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  /** Allowed machine types; null: any. */
  types: string[] | null;
  cancelledAt: number | null;
  urgent: boolean;
  deadlineS: number | null;
  /** Its tasks fail on every machine. */
  broken: boolean;
}

/** A job whose user says nothing else. */
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

/** A whole description of a job. */
export const jobOf = (job: Partial<SimJob>): SimJob => ({ ...DEFAULT_JOB, ...job });

/** A submission's body; `raw` overrides fields as sent, undefined leaves one out. */
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
  /** Gang tasks, told to stop with grace: when its progress is saved. It reports `running` until it exits. */
  savedAt?: number;
  /** Its progress was saved when it was stopped. */
  stored?: boolean;
}
