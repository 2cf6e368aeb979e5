/** Faults and properties of a simulated worker that tests set. */

/** ms after which a heartbeat without an answer times out. */
export const ANSWER_TIMEOUT_MS = 4000;
/** ms that a machine takes to fetch an image. */
const IMAGE_MS = 1000;

/** Faults of a simulated worker's messages, and properties of its machine; by default none. */
export class WorkerFaults {
  /** Delay in ms before a direct call is executed; above 0, the call's answer is lost. */
  directDelayMs = 0;
  /** Delays in ms after which duplicates of a direct call arrive, from its own arrival on. */
  directDuplicatesAfterMs: number[] = [];
  /** Extra delay in ms of heartbeats; an answer after `ANSWER_TIMEOUT_MS` is ignored. */
  heartbeatDelayMs = 0;
  /** Extra delay in ms of answers with starts; answers are ignored after `ANSWER_TIMEOUT_MS`. */
  startAnswerDelayMs = 0;
  /** Seconds until the cloud takes the machine back, as its heartbeats say; null: not announced. */
  noticeS: number | null = null;
  /** ms that the machine takes to fetch an image; 0: it has all images. */
  fetchMs = IMAGE_MS;
  /** True if heartbeats arrive, but answers and direct calls do not reach this worker. */
  losesAnswers = false;
  /** True if heartbeats reach no controller; direct calls still reach this worker. */
  losesHeartbeats = false;
  /** Delays in ms after which duplicates of a heartbeat arrive, each at a random controller. */
  heartbeatDuplicatesAfterMs: number[] = [];
}
