/**
 * Writes history.json: the record of one arm, as the program itself writes it after 99,950 finished
 * tasks of one class. It needs the output of review/build-2.sh. The case reads only history.json.
 */
import { writeFileSync } from 'node:fs';
import { Bandit } from '../../target/src/coordination/scheduling/bandit.js';

const FINISHED_TASKS = 99_950;
const TYPE = 'tatra-node';

const bandit = new Bandit([TYPE], 2, 2);
for (let task = 0; task < FINISHED_TASKS; task++) {
  const context = bandit.context('verify-batch/1/0', TYPE, new Map([[TYPE, 1 + (task % 9)]]));
  // A run of 20 to 30 s on a quarter of a machine at 0.21 an hour.
  bandit.recordSuccess(TYPE, context, ((20 + (task % 11)) * 0.21) / 4 / 3600);
}
const [record] = bandit.records(TYPE, 7782, 1);
writeFileSync(new URL('history.json', import.meta.url), JSON.stringify(record) + '\n');
