/** Rendezvous hashing: which shard a machine belongs to, and the order of candidates for a role. */

/** FNV-1a over UTF-16 units, mixed once more: even enough for choosing among a few members. */
export function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value ^= text.charCodeAt(index);
    value = Math.imul(value, 0x01000193);
  }
  value ^= value >>> 16;
  value = Math.imul(value, 0x85ebca6b);
  value ^= value >>> 13;
  return value >>> 0;
}

/** The candidate with the greatest hash together with the name; of equals the first by name. */
function highestRanked(name: string, candidates: readonly string[]): string | null {
  let best: string | null = null;
  let bestHash = -1;
  for (const candidate of candidates) {
    const value = hash(`${candidate}|${name}`);
    if (value > bestHash || (value === bestHash && best !== null && candidate < best)) {
      best = candidate;
      bestHash = value;
    }
  }
  return best;
}

/** A controller of the cluster, and the zone that it runs in. */
export interface Member {
  node: string;
  zone: string;
}

/**
 * The shard that a machine belongs to. It is one whose preferred owner is in the machine's zone, so
 * that a zone that is cut off keeps working, or any where that zone has no member. It never changes.
 */
export function shardOf(machine: string, zone: string, members: readonly Member[]): string {
  const local = members.filter((member) => member.zone === zone);
  const names = (local.length > 0 ? local : members).map((member) => member.node);
  return highestRanked(machine, names) ?? '';
}

/** The members' names, each the highest ranked among those that are left. */
function rankByHash(role: string, members: readonly Member[]): string[] {
  const names = members.map((member) => member.node);
  const ranking: string[] = [];
  for (let next = highestRanked(role, names); next !== null; next = highestRanked(role, names)) {
    ranking.push(next);
    names.splice(names.indexOf(next), 1);
  }
  return ranking;
}

/** The candidates for a shard that its preferred owner does not claim: those of its zone first. */
export function orderForShard(
  role: string,
  preferredOwner: Member,
  nodes: readonly Member[],
): string[] {
  const sameZone = nodes.filter((node) => node.zone === preferredOwner.zone);
  const otherZones = nodes.filter((node) => node.zone !== preferredOwner.zone);
  return [...rankByHash(role, sameZone), ...rankByHash(role, otherZones)];
}

/**
 * The candidates for the leader role: those that share their zone's machines with the most other
 * members first, since their shards leave them the least to do.
 */
export function orderForLeader(
  role: string,
  nodes: readonly Member[],
  members: readonly Member[],
): string[] {
  const membersInZoneOf = (node: Member): number =>
    members.filter((member) => member.zone === node.zone).length;
  const sizes = [...new Set(nodes.map(membersInZoneOf))].sort((a, b) => b - a);
  return sizes.flatMap((size) =>
    rankByHash(
      role,
      nodes.filter((node) => membersInZoneOf(node) === size),
    ),
  );
}
