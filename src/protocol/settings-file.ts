/** Reads one settings file as TOML and validates it against a schema. */

import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import type * as v from 'valibot';
import { MothbankError } from '../transport/errors.js';
import { validate } from './validation.js';

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

/** The content as the schema has it; throws `SettingsError` for its first fault. */
export function checkFile<Schema extends v.GenericSchema>(
  file: string,
  schema: Schema,
  raw: unknown,
): v.InferOutput<Schema> {
  const parsed = validate(schema, raw, 'file');
  if (parsed.ok) return parsed.value;
  throw new SettingsError(file, parsed.error);
}
