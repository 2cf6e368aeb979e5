/**
 * Defines the shard zone: the machines of one shard in one zone, to which the leader assigns tasks.
 */

/** A shard, and a zone in which it has machines. */
export interface ShardZone {
  readonly shard: string;
  readonly zone: string;
}

/** Returns the key that identifies a shard zone in maps. */
export const shardZoneKey = (shard: string, zone: string): string => `${shard}\n${zone}`;

/**
 * Returns the entry of a shard zone in a map. If there is none, `create` makes one, which is added.
 */
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
