/** One settings file: read as TOML and checked against a schema. */

import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { MothbankError } from '../transport/errors.js';

/** A finite number above zero. */
export const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
/** A finite number that is not negative. */
export const amount = v.pipe(v.number(), v.finite(), v.minValue(0));

/** Settings that can't be used; the message is one line that names file and field. */
export class SettingsError extends MothbankError {
  readonly code = 'SETTINGS';
  readonly outcome = 'notExecuted';

  constructor(file: string, reason: string) {
    super(`${file}: ${reason.split('\n')[0]}`);
    this.name = 'SettingsError';
  }
}

/** The content of a TOML file. */
export function readToml(file: string): unknown {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, `can't be read (${(error as NodeJS.ErrnoException).code})`);
  }
  try {
    return parse(text);
  } catch (error) {
    throw new SettingsError(file, `no TOML: ${(error as Error).message}`);
  }
}

/** The content as the schema has it; throws `SettingsError` at the first fault. */
export function checkFile<Schema extends v.GenericSchema>(
  file: string,
  schema: Schema,
  raw: unknown,
): v.InferOutput<Schema> {
  const result = v.safeParse(schema, raw);
  if (result.success) return result.output;
  const issue = result.issues[0];
  throw new SettingsError(file, `${v.getDotPath(issue) ?? 'file'}: ${issue.message}`);
}
