/** The messages between detectors, and which of them are passed over. */

import { MAX_NAME_LENGTH, MAX_UPDATES_PER_MESSAGE } from './constants.js';

/** A rumour about a member: that it lives, or that a witness could not reach it. */
export interface MemberUpdate {
  readonly member: string;
  readonly instance: string;
  readonly incarnation: number;
  readonly state: 'alive' | 'suspect';
  /** Whose probe failed; of `alive` the member itself. */
  readonly witness: string;
  /** Whether the shared store answered the witness. */
  readonly storeAnswers: boolean;
}

/** Kinds of messages. */
export type DetectorBody =
  | { readonly kind: 'ping'; readonly sequence: number }
  | { readonly kind: 'ack'; readonly sequence: number }
  /** Asks the receiver to probe `target`. */
  | { readonly kind: 'indirectPing'; readonly sequence: number; readonly target: string }
  /** `instance` and `incarnation`: of the target, where it was reached. */
  | {
      readonly kind: 'indirectAck';
      readonly sequence: number;
      readonly target: string;
      readonly isReached: boolean;
      readonly instance: string;
      readonly incarnation: number;
    };

/** A message with the fields of its sender that every message has. */
export interface DetectorMessage {
  readonly cluster: string;
  readonly from: string;
  readonly instance: string;
  readonly incarnation: number;
  readonly updates: readonly MemberUpdate[];
  readonly body: DetectorBody;
}

/** Why a message or an update was passed over. */
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

/** Why a message can't be used; null: it can. */
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
