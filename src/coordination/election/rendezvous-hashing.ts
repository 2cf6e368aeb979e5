/** Rendezvous hashing: which of a few nodes something belongs to. */

/** FNV-1a over UTF-16 units, mixed once more: even enough for choosing among a few nodes. */
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

/** Rendezvous hashing: the candidate with the greatest hash together with the name. */
export function highestRanked(name: string, candidates: readonly string[]): string | null {
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
 * The part that a machine belongs to: among the parts homed in its zone, so that a zone that is cut
 * off keeps working; among all where no node lives in that zone. It never changes.
 */
export function shardOf(machine: string, zone: string, members: readonly Member[]): string {
  const local = members.filter((member) => member.zone === zone);
  const names = (local.length > 0 ? local : members).map((member) => member.node);
  return highestRanked(machine, names) ?? '';
}

/** All names, each the choice among those that are left. */
function rankByHash(role: string, members: readonly Member[]): string[] {
  const names = members.map((member) => member.node);
  const ranking: string[] = [];
  for (let next = highestRanked(role, names); next !== null; next = highestRanked(role, names)) {
    ranking.push(next);
    names.splice(names.indexOf(next), 1);
  }
  return ranking;
}

/** The order in which nodes take a part whose home does not: those of its zone first. */
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
 * The order in which nodes take the lead: those that share their zone's machines with the most
 * others first, since they have the least to do beside it.
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
