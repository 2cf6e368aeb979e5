/**
 * Measures the failure detector in simulated time; prints one JSON object a line. Not a test: run it with
 * `node target/test/measure-detector.js` after a build. It simulates all
 * members, so the CPU time is divided by their number.
 */
import { encodeDetectorMessage } from '../src/protocol/detector-codec.js';
import { DetectorNetwork } from './world/detector-network.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/** s without faults in which messages and CPU time are counted. */
const QUIET_S = 60;
/** s for which a member pauses, one measurement for each. */
const PAUSES_S = [1, 2, 3, 4, 5, 6, 8, 10];

const named = (count: number): string[] =>
  Array.from({ length: count }, (_, number) => `moth-${number}`);
const print = (row: object): void => void process.stdout.write(`${JSON.stringify(row)}\n`);
const quantile = (values: number[], fraction: number): number =>
  values.sort((a, b) => a - b)[Math.floor((values.length - 1) * fraction)] ?? NaN;

/** Measures messages, bytes and CPU time of a member in a second without faults. */
async function measureQuiet(count: number): Promise<void> {
  const network = new DetectorNetwork(named(count), 1);
  await network.run(count + 5);
  const from = network.sent.length;
  const before = process.cpuUsage();
  await network.run(QUIET_S);
  const { user, system } = process.cpuUsage(before);
  const sent = network.sent.slice(from);
  const bytes = sent.reduce((sum, { message }) => sum + encodeDetectorMessage(message).length, 0);
  const perMember = (total: number): number => total / count / QUIET_S;
  print({
    members: count,
    messagesPerSecond: perMember(sent.length),
    bytesPerSecond: perMember(bytes),
    processorMsPerSecond: perMember((user + system) / 1000),
  });
}

/** Measures the seconds from a crash until the other members suspect the member, and until it has failed. */
async function measureCrash(count: number): Promise<void> {
  const times: Record<string, number[]> = { suspect: [], failed: [] };
  for (const seed of SEEDS) {
    const network = new DetectorNetwork(named(count), seed);
    await network.run(count + 5 + seed / 7);
    const killedAt = network.clock.wall();
    network.kill('moth-1');
    await network.run(20);
    for (const { at, member, to } of network.transitions) {
      if (member === 'moth-1' && at > killedAt) times[to]?.push((at - killedAt) / 1000);
    }
  }
  for (const [state, values] of Object.entries(times)) {
    print({ members: count, state, p50: quantile(values, 0.5), most: quantile(values, 1) });
  }
}

/** Counts how often the other members suspect a member that only paused, and declare it failed. */
async function measurePause(seconds: number): Promise<void> {
  const verdicts = { suspected: 0, failed: 0 };
  for (const seed of SEEDS) {
    const network = new DetectorNetwork(named(3), seed);
    await network.run(10 + seed / 7);
    const from = network.transitions.length;
    network.pause('moth-1', seconds);
    await network.run(seconds + 10);
    const states = network.transitions.slice(from).filter(({ member }) => member === 'moth-1');
    verdicts.suspected += states.filter(({ to }) => to === 'suspect').length;
    verdicts.failed += states.filter(({ to }) => to === 'failed').length;
  }
  print({ pauseS: seconds, observations: SEEDS.length * 2, ...verdicts });
}

for (const count of [3, 5, 9, 31, 63]) await measureQuiet(count);
for (const count of [2, 3, 5, 9, 31]) await measureCrash(count);
for (const seconds of PAUSES_S) await measurePause(seconds);
