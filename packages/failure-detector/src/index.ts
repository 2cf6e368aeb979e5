/** The package's exports: failure detection between the members of a small cluster. */

export { MEMBERS_MAX } from './constants.js';
export { FailureDetector, type ProbeTimes, type Reply } from './detector.js';
export { BoundedHistory, type DetectorCounts } from './history.js';
export type { DetectorBody, DetectorMessage, DropReason, MemberUpdate } from './messages.js';
export { Suspicion } from './suspicion.js';
export type {
  DetectorClock,
  DetectorObserver,
  DetectorTiming,
  DetectorTransport,
  FailureDetectorOptions,
  MemberState,
  Transition,
  TransitionReason,
} from './types.js';
export {
  quorumOf,
  verdictOf,
  type Evidence,
  type Verdict,
  type VerdictInput,
  type VerdictKind,
} from './verdict.js';
