#!/usr/bin/env node
/** The operators' command line: tools that read the logs and detection records of controllers. */

import { writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { compress, readHistories, reportOf } from '@mothbank/detection-report';
import { VERSION } from './constants/program.js';

/** Exit code for an invalid command line. */
const EXIT_USAGE = 2;
/** Exit code if a file, or a line of one, could not be read. */
const EXIT_UNREADABLE = 1;

interface DetectionsOptions {
  out: string;
  export?: string;
}

function writeDetections(files: string[], options: DetectionsOptions): void {
  const histories = readHistories(files);
  for (const { file, reason } of histories.faults) {
    process.stderr.write(`mothbank: ${file}: ${reason}\n`);
  }
  writeFileSync(options.out, reportOf(histories));
  if (options.export !== undefined) writeFileSync(options.export, compress(histories.records));
  process.stdout.write(`${histories.records.length} records: ${options.out}\n`);
  if (histories.faults.length > 0) process.exitCode = EXIT_UNREADABLE;
}

const program = new Command('mothbank')
  .description(
    "Operators' tools of a mothbank cluster. A controller is started as the README says.",
  )
  .version(VERSION)
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : EXIT_USAGE));

program
  .command('detections')
  .description('write one HTML report of the failure detection of several nodes')
  .argument('<files...>', 'logs of controllers, or responses of GET /detections, also compressed')
  .option('--out <file>', 'the report', 'detections.html')
  .option('--export <file>', 'all records as one compressed file as well')
  .action(writeDetections);

program.parse();
