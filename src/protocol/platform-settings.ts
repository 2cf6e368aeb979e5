/** Reads the settings file that the platform provides, and checks it against its schema. */

import * as v from 'valibot';
import { SHARDS_PER_TERM } from '../constants/election.js';
import { MIN_VALUE_KB } from '../constants/protocol.js';
import { checkFile, readToml, SettingsError } from './settings-file.js';
import { amount, positive } from './validation.js';

const address = v.pipe(v.string(), v.regex(/^[^:]+:\d{1,5}$/, 'must have the form HOST:PORT'));

/** The limits of the key-value store, by their names in the file. */
const storeLimitsSchema = {
  rps: positive,
  write_rps: positive,
  value_kb: v.pipe(v.number(), v.finite(), v.minValue(MIN_VALUE_KB)),
  txn_ops: v.pipe(v.number(), v.integer(), v.minValue(2)),
};

const platformSchema = v.object({
  node_name: v.pipe(v.string(), v.minLength(1)),
  site: v.pipe(v.string(), v.minLength(1)),
  front: address,
  cluster_listen: address,
  members: v.optional(
    v.array(v.object({ node_name: v.string(), site: v.string(), peer_addr: address })),
    [],
  ),
  services: v.object({ cloud: address, state: address }),
  params: v.object({
    zones: v.array(v.string()),
    skew_ms: v.optional(amount, 0),
    teams: v.optional(
      v.array(
        v.object({
          name: v.string(),
          cpus: amount,
          cpus_max: amount,
          gpus: v.optional(amount, 0),
          gpus_max: v.optional(amount, 0),
        }),
      ),
      [],
    ),
    objectives: v.optional(
      v.array(
        v.looseObject({
          kind: v.string(),
          class: v.optional(v.string()),
          within_s: v.optional(amount),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      cancel_s: positive,
      gang_wait_s: v.optional(positive),
      gang_peer_s: v.optional(positive),
    }),
    state: v.object({
      ...storeLimitsSchema,
      next: v.optional(v.partial(v.object(storeLimitsSchema)), {}),
    }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    resources: v.object({ cores: positive, mem_mb: positive, fd_limit: positive }),
  }),
});

/** The validated content of the platform's file. */
export type PlatformFile = v.InferOutput<typeof platformSchema>;
/** The section `params` of the platform's file, with the parameters of the cluster. */
export type PlatformParams = PlatformFile['params'];

/**
 * Checks that a worker's lease is shorter than the time limit of a cancellation, that the names of
 * controllers differ, and that there are fewer controllers than `SHARDS_PER_TERM`.
 */
function checkRelations(file: string, raw: PlatformFile): void {
  const { workers } = raw.params;
  if (workers.lease_s >= workers.cancel_s) {
    throw new SettingsError(file, 'params.workers.cancel_s: must be above lease_s');
  }
  const names = [raw.node_name, ...raw.members.map((member) => member.node_name)];
  if (new Set(names).size !== names.length) {
    throw new SettingsError(
      file,
      'members.node_name: must be unique, and differ from this node_name',
    );
  }
  // Attempt numbers contain the number of the shard that made them, or SHARDS_PER_TERM - 1 if the
  // leader made them, so the shards' numbers must stay below that.
  if (names.length >= SHARDS_PER_TERM) {
    throw new SettingsError(
      file,
      `members: at most ${SHARDS_PER_TERM - 1} controllers are allowed, this one included`,
    );
  }
}

/** Reads the platform's file; throws `SettingsError` for the first invalid setting. */
export function readPlatformFile(file: string): PlatformFile {
  const raw = checkFile(file, platformSchema, readToml(file));
  checkRelations(file, raw);
  return raw;
}
