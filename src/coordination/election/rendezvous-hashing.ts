/** Rendezvous hashing, which assigns machines to shards and orders the candidates for a role. */

/**
 * Returns the FNV-1a hash over the UTF-16 units of a text, with a final mixing step that spreads it
 * evenly enough to choose among a few members.
 */
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

/**
 * Returns the candidate with the greatest hash of candidate and `name`, which is a machine or a
 * role; null: there are no candidates. Equal hashes are ordered by the candidate's name.
 */
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

/** A controller of the cluster with the zone in which it runs. */
export interface Member {
  node: string;
  zone: string;
}

/**
 * Returns the shard to which a machine belongs, which never changes. The shard's preferred holder
 * runs in the machine's zone, so that a zone that is cut off from the others keeps working.
 * Machines of a zone without a member are distributed over all shards.
 */
export function shardOf(machine: string, zone: string, members: readonly Member[]): string {
  const local = members.filter((member) => member.zone === zone);
  const names = (local.length > 0 ? local : members).map((member) => member.node);
  return highestRanked(machine, names) ?? '';
}

/** Returns the members' names in descending order of their hash with the role. */
function rankByHash(role: string, members: readonly Member[]): string[] {
  const names = members.map((member) => member.node);
  const ranking: string[] = [];
  for (let next = highestRanked(role, names); next !== null; next = highestRanked(role, names)) {
    ranking.push(next);
    names.splice(names.indexOf(next), 1);
  }
  return ranking;
}

/** Orders the candidates for a shard; members of its preferred holder's zone come first. */
export function orderForShard(
  role: string,
  preferredHolder: Member,
  candidates: readonly Member[],
): string[] {
  const sameZone = candidates.filter((member) => member.zone === preferredHolder.zone);
  const otherZones = candidates.filter((member) => member.zone !== preferredHolder.zone);
  return [...rankByHash(role, sameZone), ...rankByHash(role, otherZones)];
}

/**
 * Orders the candidates for the leader role. Members of the zones with the most members come first:
 * there, a zone's machines are divided among the most shards, so that a member has the least work
 * with its own shard.
 */
export function orderForLeader(
  role: string,
  candidates: readonly Member[],
  members: readonly Member[],
): string[] {
  const membersInZoneOf = (candidate: Member): number =>
    members.filter((member) => member.zone === candidate.zone).length;
  const sizes = [...new Set(candidates.map(membersInZoneOf))].sort((a, b) => b - a);
  return sizes.flatMap((size) =>
    rankByHash(
      role,
      candidates.filter((candidate) => membersInZoneOf(candidate) === size),
    ),
  );
}
