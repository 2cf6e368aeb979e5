/** Reads a settings file as TOML and validates it against a schema. */

import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import type * as v from 'valibot';
import { MothbankError } from '../transport/errors.js';
import { validate } from './validation.js';

/** Thrown for invalid settings. The message is one line that names the file and the field. */
export class SettingsError extends MothbankError {
  readonly code = 'SETTINGS';
  readonly outcome = 'notExecuted';

  constructor(file: string, reason: string) {
    super(`${file}: ${reason.split('\n')[0]}`);
    this.name = 'SettingsError';
  }
}

/** Reads and parses a TOML file; throws `SettingsError` if this fails. */
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
    throw new SettingsError(file, `not valid TOML: ${(error as Error).message}`);
  }
}

/** Validates a file's content and fills in defaults; throws `SettingsError` for the first error. */
export function checkFile<Schema extends v.GenericSchema>(
  file: string,
  schema: Schema,
  raw: unknown,
): v.InferOutput<Schema> {
  const parsed = validate(schema, raw, 'file');
  if (parsed.ok) return parsed.value;
  throw new SettingsError(file, parsed.error);
}
