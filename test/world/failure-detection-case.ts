/** Test cases in the simulated cluster with failure detection between its controllers. */
import assert from 'node:assert/strict';
import type { DetectionRecord } from '../../src/coordination/failure-detection/detection-records.js';
import { readOperatorSettings } from '../../src/protocol/operator-settings.js';
import type { Settings } from '../../src/protocol/settings.js';
import { roleKey } from '../../src/storage/keys.js';
import type { RoleRecord } from '../../src/storage/records.js';
import { silentLog } from './settings.js';
import { World, type Members } from './world.js';

/** The settings of failure detection in the deploy file. */
export const WITH_FAILURE_DETECTION: Partial<Settings> = {
  suspicion: readOperatorSettings(['deploy/suspicion.toml'], 3).suspicion,
};

/** Number of tasks of the two jobs that run in each case. */
const TASKS = 18;

/** A world with the detection records and step-downs of all its controllers. */
export interface ObservedWorld {
  world: World;
  records: DetectionRecord[];
  /** Logged step-downs, each as the controller and the role. */
  steppedDown: string[];
}

/** Returns a world with failure detection, four machines and running jobs of two teams. */
export async function worldWithFailureDetection(
  seed: number,
  members?: Members,
): Promise<ObservedWorld> {
  const records: DetectionRecord[] = [];
  const steppedDown: string[] = [];
  const logOf = (node: string): typeof silentLog => ({
    ...silentLog,
    info: (fields, message) => {
      if ('detection' in fields) records.push(fields.detection as DetectionRecord);
      if (message === 'stepped down')
        steppedDown.push(`${node} ${(fields as { role: string }).role}`);
    },
  });
  const world = new World(seed, members, WITH_FAILURE_DETECTION, logOf);
  for (const zone of ['a', 'a', 'b', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(8);
  void world.submit('j-000001', { tasks: 16, runS: 60 });
  void world.submit('j-000002', { team: 'blue', tasks: 2, service: true, spot: false });
  await world.run(8);
  return { world, records, steppedDown };
}

/** A fault and its expected effects. */
export interface FailureDetectionCase {
  name: string;
  fault: (observed: ObservedWorld) => Promise<void>;
  /** True if each role must have the same holder and term before and after the fault. */
  keepsTerms?: boolean;
  /** The reasons of all failovers, in the order of their first occurrence. */
  reasons?: string[];
  /** Number of tasks that start again even without failure detection: their machine is cut off. */
  restarts?: number;
}

/** Runs a case: the invariants hold, the array completes, and only `restarts` tasks start again. */
export async function runFailureDetectionCase(
  row: FailureDetectionCase,
  seed: number,
): Promise<void> {
  const observed = await worldWithFailureDetection(seed);
  const { world, records } = observed;
  const before = roleTerms(world);
  await row.fault(observed);
  if (row.keepsTerms) assert.deepEqual(roleTerms(world), before);
  if (row.reasons) assert.deepEqual([...failoverReasons(records)], row.reasons);
  world.settingsFor = () => WITH_FAILURE_DETECTION;
  for (const [node] of world.members) if (!world.nodes.has(node)) world.boot(node);
  await world.run(25);
  world.startChecksAfterFaults();
  await world.run(60);
  assert.deepEqual(world.violations, []);
  const { body } = await world.poll('j-000001', 'n0');
  assert.match(JSON.stringify(body), /"done"/, `seed ${seed}`);
  const maxStarts = TASKS + (row.restarts ?? 0);
  assert.ok(world.starts.length <= maxStarts, `seed ${seed}: a task had to start again`);
}

/** Cuts the links between the controllers in `left` and all other controllers. */
export function partition(world: World, left: readonly string[]): void {
  for (const one of left) {
    for (const [other] of world.members)
      if (!left.includes(other)) world.cutLinks.add(`${one}>${other}`);
  }
}

/** Returns the stored holder and term of each role. */
export function roleTerms(world: World): Record<string, string> {
  const roles = ['leader', ...world.members.map(([name]) => `part-${name}`)];
  return Object.fromEntries(
    roles.map((role) => {
      const record = world.store.entries.get(roleKey(role))?.value as RoleRecord | undefined;
      return [role, `${record?.owner} ${record?.term}`];
    }),
  );
}

/** Returns the reasons of all failovers. */
function failoverReasons(records: readonly DetectionRecord[]): Set<string> {
  const reasons = new Set<string>();
  for (const record of records) {
    if (record.type === 'decision' && record.action === 'take') reasons.add(record.why);
  }
  return reasons;
}
