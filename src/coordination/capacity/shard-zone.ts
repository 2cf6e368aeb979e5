/** The machines of one shard in one zone: the unit to which the leader assigns tasks. */

/** A shard and one of its zones. */
export interface ShardZone {
  readonly shard: string;
  readonly zone: string;
}

/** Identifies a shard zone in maps. */
export const shardZoneKey = (shard: string, zone: string): string => `${shard}\n${zone}`;

/** The entry of a shard zone, created when there is none yet. */
export function getOrCreateEntry<Entry extends ShardZone>(
  entries: Map<string, Entry>,
  { shard, zone }: ShardZone,
  create: (shardZone: ShardZone) => Entry,
): Entry {
  const key = shardZoneKey(shard, zone);
  const existing = entries.get(key);
  if (existing) return existing;
  const entry = create({ shard, zone });
  entries.set(key, entry);
  return entry;
}
