/**
 * Admission control: finds jobs that can never run, whatever other jobs finish and whatever
 * machines are added.
 */
import type { JobSpec, MachineType } from '../../protocol/model.js';
import type { Team } from '../../protocol/settings.js';

/**
 * Result of `reasonNeverRunnable` if it can't tell whether a job can run, as the machine types are
 * not known yet.
 */
export const MACHINE_TYPES_UNKNOWN = 'unknown';

/**
 * Returns the reason why a job can never run, or MACHINE_TYPES_UNKNOWN; null: it may run. `types`:
 * the machine types; null: not known yet.
 */
export function reasonNeverRunnable(
  spec: JobSpec,
  teams: readonly Team[],
  types: readonly MachineType[] | null,
): string | null {
  const team = teams.find((candidate) => candidate.name === spec.team);
  if (!team) return `crew: no team ${spec.team}`;
  const concurrentTasks = spec.kind === 'array' ? 1 : spec.tasks;
  if (spec.cpus * concurrentTasks > team.cpusMax || spec.gpus * concurrentTasks > team.gpusMax) {
    return 'cores: more than the team may use';
  }
  if (types === null) return MACHINE_TYPES_UNKNOWN;
  const fittingTypes = types.filter((type) => fitsMachineType(spec, type));
  if (fittingTypes.length === 0) return 'larvae: a task fits no allowed machine type';
  if (lacksZonesToSpread(spec, fittingTypes))
    return 'apart: all tasks at once would be in one zone';
  return null;
}

/** Returns whether a task of the job may run on machines of the type, and fits an empty machine. */
function fitsMachineType(spec: JobSpec, type: MachineType): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || type.zones.includes(spec.zone)) &&
    type.cpus >= spec.cpus &&
    type.gpus >= spec.gpus &&
    type.memoryGb >= spec.memoryGb
  );
}

/**
 * Returns whether a gang that must be spread can use too few zones. At most half of its tasks may
 * be in one zone, and all of them run at the same time.
 */
function lacksZonesToSpread(spec: JobSpec, fittingTypes: readonly MachineType[]): boolean {
  if (spec.kind !== 'gang' || !spec.spread || spec.tasks <= 1) return false;
  const zones = new Set(
    spec.zone === null ? fittingTypes.flatMap((type) => type.zones) : [spec.zone],
  );
  return spec.oneZone || zones.size < 2;
}
