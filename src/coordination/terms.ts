import { rankOf } from '../protocol/terms.js';

/** From this rank on work is urgent: it takes room from what ranks below it. */
export const URGENT = rankOf('high');

/** Names the machines of a part in one zone. */
export const placeOf = (part: string, zone: string): string => `${part}\n${zone}`;
