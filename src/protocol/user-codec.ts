/** The users' wire format: submissions in, job states out. */

import * as v from 'valibot';
import { MAX_TASKS } from '../constants/protocol.js';
import type { JobSpec, JobState, Priority } from './model.js';

/** Job ids have this form on the wire. */
const JOB_ID = /^j-\d{1,18}$/;

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const label = v.pipe(v.string(), v.minLength(1), v.maxLength(100));

/** Only what may be null may be left out: a job that lacks a field is malformed. */
const submissionSchema = v.object({
  ref: v.pipe(v.string(), v.regex(JOB_ID, 'must look like j-000412')),
  lane: label,
  crew: label,
  shape: v.picklist(['sweep', 'standing', 'group']),
  rank: v.picklist(['production', 'urgent', 'normal', 'best_effort']),
  larvae: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_TASKS)),
  cores: positive,
  gpus: amount,
  memGb: amount,
  cocoon: label,
  imageGb: amount,
  breeds: v.nullish(v.pipe(v.array(label), v.maxLength(1000)), null),
  grove: v.nullish(label, null),
  samePlace: v.boolean(),
  apart: v.boolean(),
  windfall: v.boolean(),
  guessS: amount,
  moltS: amount,
  spinS: amount,
  duskS: v.nullish(amount, null),
});

/** The wire's names of job kinds, priorities and states. */
const WIRE_KINDS: Record<'sweep' | 'standing' | 'group', JobSpec['kind']> = {
  sweep: 'array',
  standing: 'service',
  group: 'gang',
};
const WIRE_PRIORITIES: Record<string, Priority> = {
  production: 'production',
  urgent: 'high',
  normal: 'normal',
  best_effort: 'low',
};
const WIRE_STATES: Record<JobState, string> = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

/** Whether a text has the form of a job id. */
export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

/** A value that was read, or a one-line reason for the sender why it could not be. */
export type Parsed<T> = { ok: true; value: T } | { ok: false; error: string };

/** A body's JSON object; null stands for a body above the limit. */
export function parseJson(text: string | null): Parsed<Record<string, unknown>> {
  if (text === null) return { ok: false, error: 'body: longer than 64 KiB' };
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return { ok: false, error: 'body: not JSON' };
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return { ok: false, error: 'body: not an object' };
  }
  return { ok: true, value: value as Record<string, unknown> };
}

/** The id alone: a known job is answered before anything else of the body is looked at. */
export function submissionId(body: Record<string, unknown>): string | null {
  return typeof body['ref'] === 'string' && JOB_ID.test(body['ref']) ? body['ref'] : null;
}

/** The job that a submission describes. */
export function parseSubmission(body: Record<string, unknown>): Parsed<JobSpec> {
  const result = v.safeParse(submissionSchema, body);
  if (!result.success) {
    const issue = result.issues[0];
    return { ok: false, error: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
  }
  const wire = result.output;
  return {
    ok: true,
    value: {
      id: wire.ref,
      class: wire.lane,
      team: wire.crew,
      kind: WIRE_KINDS[wire.shape],
      priority: WIRE_PRIORITIES[wire.rank] ?? 'normal',
      tasks: wire.larvae,
      cpus: wire.cores,
      gpus: wire.gpus,
      memoryGb: wire.memGb,
      image: wire.cocoon,
      imageGb: wire.imageGb,
      types: wire.breeds,
      zone: wire.grove,
      oneZone: wire.samePlace,
      spread: wire.apart,
      spot: wire.windfall,
      estimateS: wire.guessS,
      checkpointS: wire.moltS,
      saveS: wire.spinS,
      deadlineS: wire.duskS,
    },
  };
}

/** The answer to a submission or cancellation. */
export function encodeJobState(id: string, state: JobState): unknown {
  return { ref: id, stage: WIRE_STATES[state] };
}

/** The answer to a poll. */
export function encodeJobView(id: string, state: JobState, done: number, running: number): unknown {
  return { ref: id, stage: WIRE_STATES[state], done, running };
}
