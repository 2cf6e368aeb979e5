/** The codec of users' requests: decodes submissions and encodes job states. */

import * as v from 'valibot';
import { MAX_TASKS } from '../constants/protocol.js';
import type { JobSpec, JobState, Priority } from './model.js';
import { amount, positive, validate, type Parsed } from './validation.js';

/** The form of a job id. */
const JOB_ID = /^j-\d{1,18}$/;

const shortText = v.pipe(v.string(), v.minLength(1), v.maxLength(100));

/** The schema of a submission. Only nullable fields are optional. */
const submissionSchema = v.object({
  ref: v.pipe(v.string(), v.regex(JOB_ID, 'must look like j-000412')),
  lane: shortText,
  crew: shortText,
  shape: v.picklist(['sweep', 'standing', 'group']),
  rank: v.picklist(['production', 'urgent', 'normal', 'best_effort']),
  larvae: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_TASKS)),
  cores: positive,
  gpus: amount,
  memGb: amount,
  cocoon: shortText,
  imageGb: amount,
  breeds: v.nullish(v.pipe(v.array(shortText), v.maxLength(1000)), null),
  grove: v.nullish(shortText, null),
  samePlace: v.boolean(),
  apart: v.boolean(),
  windfall: v.boolean(),
  guessS: amount,
  moltS: amount,
  spinS: amount,
  duskS: v.nullish(amount, null),
});

/** Names of job kinds, priorities and states on the wire. */
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

/** Returns whether the text has the form of a job id. */
export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

/**
 * Returns the job id of a submission, or null if it is invalid. The rest of the body is not
 * checked, so that a submission of a known job can be answered before it is validated.
 */
export function submissionId(body: Record<string, unknown>): string | null {
  return typeof body['ref'] === 'string' && JOB_ID.test(body['ref']) ? body['ref'] : null;
}

/** Decodes a submission, or returns the first reason why it is malformed. */
export function parseSubmission(body: Record<string, unknown>): Parsed<JobSpec> {
  const parsed = validate(submissionSchema, body, 'body');
  if (!parsed.ok) return parsed;
  const wire = parsed.value;
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

/** Encodes the response to a submission or cancellation. */
export function encodeJobState(id: string, state: JobState): unknown {
  return { ref: id, stage: WIRE_STATES[state] };
}

/** Encodes the response to a poll, with the numbers of tasks that are done and running. */
export function encodeJobView(id: string, state: JobState, done: number, running: number): unknown {
  return { ref: id, stage: WIRE_STATES[state], done, running };
}
