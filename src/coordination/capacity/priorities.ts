/** The bound of urgent work, and the name of a place. */

import { rankOf } from '../../protocol/model.js';

/** From this rank on work is urgent: it takes room from what ranks below it. */
export const URGENT = rankOf('high');

/** Names the machines of a part in one zone. */
export const shardZoneKey = (shard: string, zone: string): string => `${shard}\n${zone}`;
