/** Reads the operators' settings from any number of files; docs/operations.md explains them. */

import * as v from 'valibot';
import { MEMBER_LEASE_TTL_MS } from '../constants/election.js';
import { checkFile, readToml, SettingsError } from './settings-file.js';
import { amount, positive } from './validation.js';

const placementSchema = v.object({
  alpha: v.optional(amount, 2),
  penalty: v.optional(positive, 2),
  snapshot_s: v.optional(positive, 30),
});

const fleetSchema = v.object({
  idle_s: v.optional(amount, 12),
  headroom_cpus: v.optional(amount, 6),
  spot: v.optional(v.boolean(), true),
  max_machines: v.optional(positive, 20_000),
});

const count = v.pipe(v.number(), v.integer(), v.minValue(1));

/**
 * The section `suspicion`. Unknown keys are rejected, because a misspelt key would otherwise
 * silently leave its setting at the default.
 */
const suspicionSchema = v.strictObject({
  enabled: v.optional(v.boolean(), true),
  probe_interval_s: v.optional(positive, 1),
  probe_timeout_s: v.optional(positive, 0.5),
  suspicion_least_s: v.optional(positive, 4.5),
  suspicion_most_s: v.optional(positive, 6),
  quorum: v.optional(count),
  confirm_within_s: v.optional(positive, 3),
  hold_new_work_s: v.optional(amount, 8),
  history: v.optional(count, 512),
});

const operatorsSchema = v.object({
  placement: v.optional(placementSchema, {}),
  fleet: v.optional(fleetSchema, {}),
  suspicion: v.optional(suspicionSchema),
});

/** Settings of the bandit that chooses machine types. */
export interface PlacementSettings {
  /** Weight of the uncertainty of an estimate; 0: no exploration. */
  alpha: number;
  /** Cost of a failed task, as a multiple of the highest cost of its class. */
  penalty: number;
  /** Seconds between two stored snapshots of the bandit's state. */
  snapshotS: number;
}

/** Settings of the rented machines. */
export interface FleetSettings {
  /** Seconds after which an idle machine may be returned. */
  idleS: number;
  /** Free CPUs kept for urgent work. */
  headroomCpus: number;
  /** Whether spot machines may be rented. */
  spot: boolean;
  maxMachines: number;
}

/** Settings of failure detection between controllers. */
export interface SuspicionSettings {
  /** One peer is probed in each interval. */
  readonly probeIntervalMs: number;
  /** Time without an answer to a direct probe after which indirect probes are sent. */
  readonly probeTimeoutMs: number;
  /** Shortest duration of a suspicion, which applies when all confirmations have arrived. */
  readonly suspicionLeastMs: number;
  /** Longest duration of a suspicion, which applies without any confirmation. */
  readonly suspicionMostMs: number;
  /**
   * Independent witnesses that must confirm a failure; null: derived from the number of members.
   */
  readonly quorum: number | null;
  /**
   * Longest time after the expiry of a holder's registration for which a failover waits for
   * confirmation that the holder has failed. After it, the expired registration alone is
   * sufficient.
   */
  readonly confirmWithinMs: number;
  /** Longest time for which the shard of a suspected holder gets no new work. */
  readonly holdNewWorkMs: number;
  /** Number of detection records kept in memory. */
  readonly historySize: number;
}

/** All settings of the operators. */
export interface OperatorSettings {
  placement: PlacementSettings;
  fleet: FleetSettings;
  /** Null: failure detection is disabled. */
  suspicion: SuspicionSettings | null;
}

type SuspicionSection = v.InferOutput<typeof suspicionSchema>;

/** Checks limits that depend on other fields, on a member's lease or on the number of members. */
function checkSuspicion(file: string, raw: SuspicionSection, memberCount: number): void {
  const fail = (key: string, reason: string): never => {
    throw new SettingsError(file, `suspicion.${key}: ${reason}`);
  };
  const leaseS = MEMBER_LEASE_TTL_MS / 1000;
  if (raw.probe_timeout_s > raw.probe_interval_s) {
    fail('probe_timeout_s', 'must not be above probe_interval_s');
  }
  if (raw.suspicion_least_s > raw.suspicion_most_s) {
    fail('suspicion_least_s', 'must not be above suspicion_most_s');
  }
  if (raw.suspicion_most_s > leaseS) {
    fail('suspicion_most_s', `must not be above ${leaseS} s, the time to live of a member's lease`);
  }
  if (raw.confirm_within_s > leaseS) {
    fail('confirm_within_s', `must not be above ${leaseS} s, the time to live of a member's lease`);
  }
  if (raw.quorum !== undefined && raw.quorum > memberCount - 1) {
    fail('quorum', `must not be above ${memberCount - 1}, the number of other members`);
  }
}

function readSuspicion(raw: SuspicionSection | undefined): SuspicionSettings | null {
  if (!raw?.enabled) return null;
  const toMs = (seconds: number): number => seconds * 1000;
  return {
    probeIntervalMs: toMs(raw.probe_interval_s),
    probeTimeoutMs: toMs(raw.probe_timeout_s),
    suspicionLeastMs: toMs(raw.suspicion_least_s),
    suspicionMostMs: toMs(raw.suspicion_most_s),
    quorum: raw.quorum ?? null,
    confirmWithinMs: toMs(raw.confirm_within_s),
    holdNewWorkMs: toMs(raw.hold_new_work_s),
    historySize: raw.history,
  };
}

type Sections = Record<string, unknown>;

/** Merges the sections of all files. Validates each file alone, so that an error names its file. */
function mergeFiles(files: readonly string[], memberCount: number): Sections {
  const sections: Sections = {};
  for (const file of files) {
    const raw = readToml(file) as Sections;
    const settings = checkFile(file, operatorsSchema, raw);
    if (settings.suspicion) checkSuspicion(file, settings.suspicion, memberCount);
    for (const [name, section] of Object.entries(raw)) {
      if (name in sections)
        throw new SettingsError(file, `${name}: section is also in another operators' file`);
      sections[name] = section;
    }
  }
  return sections;
}

/** Reads the operators' files; throws `SettingsError` for the first invalid setting. */
export function readOperatorSettings(
  files: readonly string[],
  memberCount: number,
): OperatorSettings {
  const settings = checkFile('defaults', operatorsSchema, mergeFiles(files, memberCount));
  return {
    placement: {
      alpha: settings.placement.alpha,
      penalty: settings.placement.penalty,
      snapshotS: settings.placement.snapshot_s,
    },
    fleet: {
      idleS: settings.fleet.idle_s,
      headroomCpus: settings.fleet.headroom_cpus,
      spot: settings.fleet.spot,
      maxMachines: settings.fleet.max_machines,
    },
    suspicion: readSuspicion(settings.suspicion),
  };
}
