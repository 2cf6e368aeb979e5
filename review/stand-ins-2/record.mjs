/** The record of a run: what was sent, answered and run, with the time since the start in ms. */
import { writeFileSync } from 'node:fs';

export class Record {
  lines = [];
  startedAt = performance.now();

  constructor(file) {
    this.file = file;
  }

  add(...parts) {
    const at = (performance.now() - this.startedAt).toFixed(0).padStart(7);
    const text = parts.map((part) => (typeof part === 'string' ? part : JSON.stringify(part)));
    this.lines.push(`${at} ${text.join(' ')}`);
  }

  save() {
    writeFileSync(this.file, this.lines.join('\n') + '\n');
  }
}
