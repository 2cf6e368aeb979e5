/** Validation of what comes from outside: JSON bodies, and values against schemas. */

import * as v from 'valibot';

/** A value that was parsed, or a one-line reason for the sender why it could not be. */
export type Parsed<T> = { ok: true; value: T } | { ok: false; error: string };

/** A finite number that is not negative. */
export const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
/** A finite number above zero. */
export const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));

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

/** The value as the schema has it, or its first fault; `root` names the value as a whole. */
export function validate<Schema extends v.GenericSchema>(
  schema: Schema,
  value: unknown,
  root: string,
): Parsed<v.InferOutput<Schema>> {
  const result = v.safeParse(schema, value);
  if (result.success) return { ok: true, value: result.output };
  const issue = result.issues[0];
  return { ok: false, error: `${v.getDotPath(issue) ?? root}: ${issue.message}` };
}
