/** Reading of records from logs and exports, plain or compressed, and writing of exports. */

import { readFileSync } from 'node:fs';
import { gunzipSync, gzipSync } from 'node:zlib';
import { parseLines, type DetectionRecord } from './records.js';

/** The reason for which a file could not be read completely. */
export interface FileFault {
  readonly file: string;
  readonly reason: string;
}

/** The records of all files by time, and the files that could not be read completely. */
export interface Histories {
  readonly records: readonly DetectionRecord[];
  readonly faults: readonly FileFault[];
}

/** The first bytes of a gzip stream. */
const GZIP_MAGIC = Buffer.from([0x1f, 0x8b]);

function readText(file: string): string {
  const bytes = readFileSync(file);
  const isCompressed = bytes.subarray(0, GZIP_MAGIC.length).equals(GZIP_MAGIC);
  return (isCompressed ? gunzipSync(bytes) : bytes).toString();
}

/**
 * Returns the records by time, and each only once: a log and an export of the same controller contain
 * the same records.
 */
function distinctInTimeOrder(records: readonly DetectionRecord[]): DetectionRecord[] {
  const byText = new Map(records.map((record) => [JSON.stringify(record), record]));
  return [...byText.values()].sort((a, b) => a.at - b.at);
}

/** Reads all files. Those that can't be read completely are listed in `faults`. */
export function readHistories(files: readonly string[]): Histories {
  const records: DetectionRecord[] = [];
  const faults: FileFault[] = [];
  for (const file of files) {
    try {
      const parsed = parseLines(readText(file));
      records.push(...parsed.records);
      if (parsed.unreadable.length > 0) {
        faults.push({
          file,
          reason: `lines that could not be read: ${parsed.unreadable.join(', ')}`,
        });
      }
    } catch (error) {
      faults.push({ file, reason: (error as Error).message });
    }
  }
  return { records: distinctInTimeOrder(records), faults };
}

/** Returns the records as one compressed export. */
export function compress(records: readonly DetectionRecord[]): Buffer {
  return gzipSync(records.map((record) => `${JSON.stringify({ detection: record })}\n`).join(''));
}
