/** Case 5: a start in an answer that is held up, while a direct call is answered. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep } from '../stand-ins-2/http.mjs';
import { HAS_TROUBLE, runCase } from '../stand-ins-2/deployment.mjs';

/** How long the command and the answer with a command are held up, in ms. */
const COMMAND_HELD_MS = 5_000;
const ANSWER_HELD_MS = 3_500;
/** A worker has given up on an answer that is held up for so long, in ms. */
const LOST_ANSWER_HELD_MS = 4_500;

// Both names belong to the same shard of controllers moth-0, moth-1 and moth-2.
const FIRST = 'm-000001';
const SECOND = 'm-000003';

const launches = (calls, larva) =>
  (calls ?? []).some((call) => call.verb === 'launch' && call.larva === larva);

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async (site) => {
  await site.open();
  const first = await site.addMachine(FIRST, { spot: true });
  await site.addMachine(SECOND);
  site.boot(FIRST);

  // Both jobs have the same image, so that the first machine has it already.
  const image = { cocoon: 'img-07', imageGb: 0.8 };
  const other = site.job('j-000001', { ...image, crew: 'payout' });
  const moved = site.job('j-000002', { ...image, rank: 'urgent' });
  await site.submit(other);
  await site.until('the first job runs', 40, () => site.isOn('j-000001/0', FIRST));

  let isHeld = false;
  let heldToken = Infinity;
  if (HAS_TROUBLE) {
    first.delayCall = ({ calls, mandate }) => {
      if (!launches(calls, 'j-000002/0')) return 0;
      heldToken = mandate;
      return COMMAND_HELD_MS;
    };
    first.delayAnswer = ({ body }) => {
      if (isHeld || !launches(body?.calls, 'j-000002/0')) return 0;
      // While the holder still waits for the answer to its command, an answer to a report repeats it.
      if (body.mandate <= heldToken) return LOST_ANSWER_HELD_MS;
      isHeld = true;
      return ANSWER_HELD_MS;
    };
  }
  // The next report is then sent after the holder has given up on its command, in most runs.
  const reports = () => site.record.lines.filter((line) => / ANSWER m-000001 /.test(line)).length;
  const before = reports();
  await site.until('another report is answered', 10, () => reports() > before + 1);
  await site.submit(moved);
  await site.until('the second job is sent to the first machine', 20, () =>
    site.record.lines.some((line) => /COMMAND m-000001 .*j-000002\/0/.test(line)),
  );
  site.boot(SECOND);
  if (HAS_TROUBLE) await site.until('an answer with the start is held up', 30, () => isHeld);
  else await sleep(9_000);

  await sleep(200);
  first.notice(25);
  setTimeout(() => site.cloud.take(FIRST, 'taken back'), 25_000);
  await sleep(100);
  await site.cancel('j-000001');
  await sleep(30_000);
  return site.floor.ranTwice;
});
