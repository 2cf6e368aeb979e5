/** Case 4: a controller is restarted after its shard has finished 100,000 tasks of one machine type. */
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep } from '../stand-ins-2/http.mjs';
import { BRATISLAVA, HAS_TROUBLE, runCase } from '../stand-ins-2/deployment.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
/** The only controller in the zone of the machines, so that all of them belong to its shard. */
const HOLDER = 'moth-1';
const ARM = `mb/live/arm/${HOLDER}/tatra-node`;
/** Time for which the jobs are watched after the restart, in s. */
const WATCH_S = Number(process.env.WATCH_S ?? 70);

const run = async (site) => {
  const history = JSON.parse(readFileSync(join(FOLDER, 'history.json'), 'utf8'));
  site.store.apply([{ put: ARM, v: history }]);
  await site.open();
  const machines = ['m-000001', 'm-000002', 'm-000003', 'm-000004'];
  for (const name of machines) {
    await site.addMachine(name);
    site.boot(name);
  }

  const small = { cores: 1, memGb: 3.4, cocoon: 'img-07', guessS: 25 };
  await site.submit(site.job('j-000001', { ...small, larvae: 100, runS: 1.5 }));
  await site.submit(site.job('j-000002', { ...small, runS: 45 }));
  await site.until('the task that is under way at the restart runs', 30, () =>
    machines.some((name) => site.isOn('j-000002/0', name)),
  );
  const stageOf = async (ref) => (await site.ask('moth-0', 'GET', `/v2/runs/${ref}`)).body?.stage;
  await site.until('100 tasks are done', 60, async () => {
    await sleep(1_000);
    return (await stageOf('j-000001')) === 'done';
  });
  const finished = () => site.store.value(ARM).a[0][2];
  await site.until('the holder has stored what it learned', 45, () => finished() >= 100_000);
  site.record.add('STORED', ARM, site.store.value(ARM));

  if (HAS_TROUBLE) {
    site.signal(HOLDER, 'SIGKILL');
    await sleep(3_000);
    site.start(HOLDER);
  }
  const restartedAt = performance.now();
  await site.submit(site.job('j-000003', { ...small, runS: 2 }));
  let doneAt = null;
  let startedAt = null;
  while (performance.now() - restartedAt < WATCH_S * 1000) {
    if (site.floor.completed.has('j-000002/0')) doneAt ??= performance.now();
    if (site.floor.starts.some(({ larva }) => larva === 'j-000003/0'))
      startedAt ??= performance.now();
    await sleep(1_000);
    const isSettled =
      startedAt !== null && doneAt !== null && (await stageOf('j-000002')) === 'done';
    if (isSettled) break;
  }
  // The fleet has room as long as one machine is up, since all that was on them has ended.
  const hasRoom = site.cloud.machines.size > 0;
  const broken = [];
  const since = (at) => ((performance.now() - at) / 1000).toFixed(0);
  if (startedAt === null && hasRoom)
    broken.push(
      `accepted: j-000003 has not run ${since(restartedAt)} s after the restart, with room for it`,
    );
  if (doneAt !== null && (await stageOf('j-000002')) !== 'done')
    broken.push(`accepted: j-000002 is not done ${since(doneAt)} s after its last task completed`);
  return broken;
};

await runCase(FOLDER, BRATISLAVA, run, (WATCH_S + 48) * 1000);
