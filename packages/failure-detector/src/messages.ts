/** The messages between detectors, and the check of received ones. */

import { MAX_NAME_LENGTH, MAX_UPDATES_PER_MESSAGE } from './constants.js';

/** An update about a member: it is alive, or a witness could not reach it. */
export interface MemberUpdate {
  readonly member: string;
  readonly instance: string;
  readonly incarnation: number;
  readonly state: 'alive' | 'suspect';
  /** The member whose probe failed; in an update with `alive`, the member that it is about. */
  readonly witness: string;
  /** Whether the key-value store answers the witness. */
  readonly storeAnswers: boolean;
}

/** The content of a message, by its kind. */
export type DetectorBody =
  | { readonly kind: 'ping'; readonly sequence: number }
  | { readonly kind: 'ack'; readonly sequence: number }
  /** Asks the receiver to probe `target`. */
  | { readonly kind: 'indirectPing'; readonly sequence: number; readonly target: string }
  /** Answers an `indirectPing`. `instance` and `incarnation` are the target's, if it was reached. */
  | {
      readonly kind: 'indirectAck';
      readonly sequence: number;
      readonly target: string;
      readonly isReached: boolean;
      readonly instance: string;
      readonly incarnation: number;
    };

/** A message; `from`, `instance` and `incarnation` are those of its sender. */
export interface DetectorMessage {
  readonly cluster: string;
  readonly from: string;
  readonly instance: string;
  readonly incarnation: number;
  readonly updates: readonly MemberUpdate[];
  readonly body: DetectorBody;
}

/** Reason for which a message or an update was dropped. */
export type DropReason =
  | 'malformed'
  | 'foreign cluster'
  | 'unknown member'
  | 'other instance'
  | 'old incarnation'
  | 'no witness';

const isValidName = (text: string): boolean => text.length > 0 && text.length <= MAX_NAME_LENGTH;
const isValidCount = (value: number): boolean => Number.isSafeInteger(value) && value >= 0;

function isValidUpdate(update: MemberUpdate): boolean {
  const names = [update.member, update.instance, update.witness];
  return names.every(isValidName) && isValidCount(update.incarnation);
}

/** Returns the reason to drop a message; null: it is valid. */
export function dropReasonOf(
  message: DetectorMessage,
  cluster: string,
  members: ReadonlySet<string>,
): DropReason | null {
  const { body, updates } = message;
  const isWellFormed =
    isValidName(message.from) &&
    isValidName(message.instance) &&
    isValidCount(message.incarnation) &&
    isValidCount(body.sequence) &&
    updates.length <= MAX_UPDATES_PER_MESSAGE &&
    updates.every(isValidUpdate);
  if (!isWellFormed) return 'malformed';
  if (message.cluster !== cluster) return 'foreign cluster';
  if (!members.has(message.from)) return 'unknown member';
  if ('target' in body && !members.has(body.target)) return 'unknown member';
  return null;
}
