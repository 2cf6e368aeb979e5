/** Records of failure detection as controllers log and export them. */

import * as v from 'valibot';

const evidenceSchema = v.looseObject({
  kind: v.string(),
  at: v.number(),
  isReached: v.optional(v.boolean()),
  witness: v.optional(v.string()),
  storeAnswers: v.optional(v.boolean()),
  instance: v.optional(v.string()),
});

const transitionSchema = v.object({
  type: v.literal('transition'),
  at: v.number(),
  observer: v.string(),
  member: v.string(),
  instance: v.string(),
  incarnation: v.number(),
  from: v.string(),
  to: v.string(),
  reason: v.string(),
  silentMs: v.nullable(v.number()),
  evidence: v.array(evidenceSchema),
});

const decisionSchema = v.object({
  type: v.literal('decision'),
  at: v.number(),
  observer: v.string(),
  role: v.string(),
  holder: v.string(),
  term: v.number(),
  action: v.string(),
  why: v.string(),
  witnesses: v.array(v.string()),
  quorum: v.number(),
  waitedMs: v.number(),
});

const probeTimesSchema = v.object({
  type: v.literal('probeTimes'),
  at: v.number(),
  observer: v.string(),
  member: v.string(),
  localHealth: v.number(),
  roundTripsMs: v.array(v.number()),
});

const lineSchema = v.object({
  detection: v.variant('type', [transitionSchema, decisionSchema, probeTimesSchema]),
});

/** One record; `at`: wall-clock time in ms since 1970. */
export type DetectionRecord = v.InferOutput<typeof lineSchema>['detection'];
/** A change of a member's state that one controller observed. */
export type TransitionRecord = Extract<DetectionRecord, { type: 'transition' }>;
/** A controller's decision about a role whose holder's lease has expired. */
export type DecisionRecord = Extract<DetectionRecord, { type: 'decision' }>;

/**
 * The records of a file, and the lines that should hold a record but could not be read: a line is
 * cut off, or its field `detection` does not match the schema.
 */
export interface ParsedLines {
  readonly records: readonly DetectionRecord[];
  /** Numbers of these lines, counted from 1. */
  readonly unreadable: readonly number[];
}

/** Parses one line; null: it is not JSON, for example because it is cut off. */
function parseJson(text: string): object | null {
  try {
    return JSON.parse(text) as object;
  } catch {
    return null;
  }
}

/**
 * Reads the records from a log or an export. Other lines of a log, which do not begin with `{` or
 * have no field `detection`, are skipped and are not listed in `unreadable`.
 */
export function parseLines(text: string): ParsedLines {
  const records: DetectionRecord[] = [];
  const unreadable: number[] = [];
  for (const [index, line] of text.split('\n').entries()) {
    if (!line.startsWith('{')) continue;
    const parsed = parseJson(line);
    if (parsed !== null && !Object.hasOwn(parsed, 'detection')) continue;
    const result = v.safeParse(lineSchema, parsed);
    if (result.success) records.push(result.output.detection);
    else unreadable.push(index + 1);
  }
  return { records, unreadable };
}
