/** The operators' own settings, from any number of files; docs/operations.md explains each. */

import * as v from 'valibot';
import { MEMBER_TTL_MS } from '../constants/election.js';
import { amount, checkFile, positive, readToml, SettingsError } from './settings-file.js';

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

/** Strict: a misspelt key would leave detection at a default that nobody chose. */
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

/** How machine types are chosen. */
export interface PlacementSettings {
  alpha: number;
  penalty: number;
  snapshotS: number;
}

/** Which machines are kept. */
export interface FleetSettings {
  idleS: number;
  headroomCpus: number;
  spot: boolean;
  maxMachines: number;
}

/** How controllers watch one another. Times in ms. */
export interface SuspicionSettings {
  readonly probeIntervalMs: number;
  readonly probeTimeoutMs: number;
  readonly suspicionLeastMs: number;
  readonly suspicionMostMs: number;
  /** Independent witnesses that confirm a failure; null: by the number of members. */
  readonly quorum: number | null;
  /** How long a takeover waits for confirmation before the state service's word alone decides. */
  readonly confirmWithinMs: number;
  /** How long a suspected owner's part gets no new work. */
  readonly holdNewWorkMs: number;
  /** Records that are kept in memory. */
  readonly history: number;
}

/** What operators set. */
export interface OperatorSettings {
  placement: PlacementSettings;
  fleet: FleetSettings;
  suspicion: SuspicionSettings | null;
}

type SuspicionFile = v.InferOutput<typeof suspicionSchema>;

/** What no schema says: relations between fields, and to the lease of a member. */
function checkSuspicion(file: string, raw: SuspicionFile, memberCount: number): void {
  const fail = (key: string, reason: string): never => {
    throw new SettingsError(file, `suspicion.${key}: ${reason}`);
  };
  const leaseS = MEMBER_TTL_MS / 1000;
  if (raw.probe_timeout_s > raw.probe_interval_s) {
    fail('probe_timeout_s', 'must not be above probe_interval_s');
  }
  if (raw.suspicion_least_s > raw.suspicion_most_s) {
    fail('suspicion_least_s', 'must not be above suspicion_most_s');
  }
  if (raw.suspicion_most_s > leaseS) {
    fail('suspicion_most_s', `must not be above ${leaseS} s, the lease of a member`);
  }
  if (raw.confirm_within_s > leaseS) {
    fail('confirm_within_s', `must not be above ${leaseS} s, the lease of a member`);
  }
  if (raw.quorum !== undefined && raw.quorum > memberCount - 1) {
    fail('quorum', `must not be above ${memberCount - 1}, the other members`);
  }
}

function readSuspicion(raw: SuspicionFile | undefined): SuspicionSettings | null {
  if (!raw?.enabled) return null;
  const ms = (seconds: number): number => seconds * 1000;
  return {
    probeIntervalMs: ms(raw.probe_interval_s),
    probeTimeoutMs: ms(raw.probe_timeout_s),
    suspicionLeastMs: ms(raw.suspicion_least_s),
    suspicionMostMs: ms(raw.suspicion_most_s),
    quorum: raw.quorum ?? null,
    confirmWithinMs: ms(raw.confirm_within_s),
    holdNewWorkMs: ms(raw.hold_new_work_s),
    history: raw.history,
  };
}

type Sections = Record<string, unknown>;

/** All sections of all files; each file is checked by itself, so that a fault names its file. */
function mergeFiles(files: readonly string[], memberCount: number): Sections {
  const sections: Sections = {};
  for (const file of files) {
    const raw = readToml(file) as Sections;
    const own = checkFile(file, operatorsSchema, raw);
    if (own.suspicion) checkSuspicion(file, own.suspicion, memberCount);
    for (const [name, section] of Object.entries(raw)) {
      if (name in sections) throw new SettingsError(file, `${name}: stands in another file too`);
      sections[name] = section;
    }
  }
  return sections;
}

/** Reads the operators' files; throws `SettingsError` at the first fault. */
export function readOperatorSettings(
  files: readonly string[],
  memberCount: number,
): OperatorSettings {
  const own = checkFile('defaults', operatorsSchema, mergeFiles(files, memberCount));
  return {
    placement: {
      alpha: own.placement.alpha,
      penalty: own.placement.penalty,
      snapshotS: own.placement.snapshot_s,
    },
    fleet: {
      idleS: own.fleet.idle_s,
      headroomCpus: own.fleet.headroom_cpus,
      spot: own.fleet.spot,
      maxMachines: own.fleet.max_machines,
    },
    suspicion: readSuspicion(own.suspicion),
  };
}
