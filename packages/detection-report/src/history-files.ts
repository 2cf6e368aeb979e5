/** Files of records: logs as they are, or compressed exports. */

import { readFileSync } from 'node:fs';
import { gunzipSync, gzipSync } from 'node:zlib';
import { parseLines, type DetectionRecord } from './records.js';

/** What is wrong with a file. */
export interface FileFault {
  readonly file: string;
  readonly reason: string;
}

/** The records of all files in the order of time, and the files that could not be read whole. */
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

/** Records that several files share, as a log and an export of one controller do, count once. */
function distinctInTimeOrder(records: readonly DetectionRecord[]): DetectionRecord[] {
  const byText = new Map(records.map((record) => [JSON.stringify(record), record]));
  return [...byText.values()].sort((a, b) => a.at - b.at);
}

/** Reads all files; one that can't be read is named, and the others are read. */
export function readHistories(files: readonly string[]): Histories {
  const records: DetectionRecord[] = [];
  const faults: FileFault[] = [];
  for (const file of files) {
    try {
      const parsed = parseLines(readText(file));
      records.push(...parsed.records);
      if (parsed.unreadable.length > 0) {
        faults.push({ file, reason: `lines that can't be read: ${parsed.unreadable.join(', ')}` });
      }
    } catch (error) {
      faults.push({ file, reason: (error as Error).message });
    }
  }
  return { records: distinctInTimeOrder(records), faults };
}

/** Records as one compressed export. */
export function compress(records: readonly DetectionRecord[]): Buffer {
  return gzipSync(records.map((record) => `${JSON.stringify({ detection: record })}\n`).join(''));
}
