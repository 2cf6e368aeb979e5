/** Validation of input: JSON bodies of requests, and values against schemas. */

import * as v from 'valibot';

/** A parsed value, or a one-line error message for the sender of the input. */
export type Parsed<Value> = { ok: true; value: Value } | { ok: false; error: string };

/** A finite number that is not negative. */
export const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
/** A finite number above zero. */
export const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));

/** Parses a body that must be a JSON object. `text`: null if the body was above the limit. */
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

/**
 * Validates a value against a schema; returns the output or the first error. The error begins with
 * the path of the invalid field, or with `root` if the value as a whole is invalid.
 */
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
